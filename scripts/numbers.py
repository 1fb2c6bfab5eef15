"""Three hives on loopback that take N versions one after the other: times of acknowledgements, memory and disk; then
overtaken numbers sent again, with the same content and another, before and after a start of all; then an empty disk.

    python3 scripts/numbers.py target/release/elderpond 6000
"""
import http.client, json, os, shutil, subprocess, sys, tempfile, time

PROGRAM, N = sys.argv[1], int(sys.argv[2])
FOLDER = tempfile.mkdtemp(prefix="elderpond-numbers-")
IPS = ["127.77.1.%d" % n for n in (1, 2, 3)]
CONTROL, INNER = 18544, 17540
hives = [None] * 3


def start(n, first):
    disk = f"{FOLDER}/disk-{n}"
    os.makedirs(disk, exist_ok=True)
    settings = f"""
node-name: "hive-{n}"
serves: ["control"]
ip-address: "{IPS[n]}"
zone: "a"
region: "r"
zones: {{a: "r"}}
listen-addresses: {{control: "{IPS[n]}:{CONTROL}"}}
internal-port-range: [{INNER}, {INNER + 7}]
seed-nodes: {json.dumps([f"{ip}:{CONTROL}" for ip in IPS])}
first-start: {json.dumps(first)}
loss-counted: true
limits: {{cpu-share: 1.0, memory-mb: 256, file-descriptors: 4096, disk-mb: 256}}
tolerated-losses: {{machines: 1, zones: 0, regions: 0}}
data-directory: "{disk}"
"""
    with open(f"{FOLDER}/{n}.yaml", "w") as file:
        file.write(settings)
    log = open(f"{FOLDER}/{n}.log", "a")
    command = [PROGRAM, "hive", "--settings", f"{FOLDER}/{n}.yaml"]
    hives[n] = subprocess.Popen(command, stdout=log, stderr=log)


def end(n):
    hives[n].kill()
    hives[n].wait()


def call(n, method, path, body=None):
    line = http.client.HTTPConnection(IPS[n], CONTROL, timeout=5)
    began = time.monotonic()
    line.request(method, path, body, {"content-type": "application/json"} if body else {})
    answer = line.getresponse()
    said = answer.read()
    line.close()
    return answer.status, (time.monotonic() - began) * 1000, said


def order(n, version, timeout):
    rule = {"name": "one", "kind": "safe", "match-condition": {"path-prefix": "/one/"},
            "route-action": {"service": "s", "timeout-s": timeout, "attempts": 2}}
    body = {"version-number": f"r{version}", "cluster-list": [{"name": "s"}],
            "listener-list": [{"host": "a.example", "rule-set": [rule]}]}
    return call(n, "POST", "/configuration/replace", json.dumps(body))


def times(answers):
    ms = sorted(answer[1] for answer in answers)
    return "p50 %.1f, p99 %.1f, longest %.1f ms" % (ms[len(ms) // 2], ms[len(ms) * 99 // 100], ms[-1])


def many(what, number, timeout, shift):
    answers = [order((k + shift) % 3, number(k), timeout) for k in range(min(300, N // 4))]
    print(f"{what}: {sorted({it[0] for it in answers})}, {times(answers)}", flush=True)


def sizes():
    def resident(hive):
        lines = open(f"/proc/{hive.pid}/status").read().splitlines()
        return next(int(line.split()[1]) // 1024 for line in lines if line.startswith("VmRSS"))
    def disk(n):
        files = [os.path.join(at, it) for at, _, names in os.walk(f"{FOLDER}/disk-{n}") for it in names]
        return sum(map(os.path.getsize, files)) // 1024
    return f"memory {[resident(it) for it in hives]} MB, disk {[disk(n) for n in range(3)]} kB"


def again(shift):
    many("overtaken, the same", lambda k: 2 * (N - k - 1), 2, shift)
    many("overtaken, another", lambda k: 2 * (N - k - 1), 3, shift)


try:
    for n in range(3):
        start(n, True)
    time.sleep(2.5)
    acknowledged = []
    for nth in range(1, N + 1):
        answer = order(nth % 3, 2 * nth, 2)
        while answer[0] == 503:
            print(f"r{2 * nth}: left open after {answer[1]:.0f} ms; sent again", flush=True)
            answer = order(nth % 3, 2 * nth, 2)
        assert answer[0] == 200, answer
        acknowledged.append(answer)
        if nth in (10, 100, 1000, 2000, 4000, 4200, N):
            print(f"{nth} versions: {sizes()}; the last 100: {times(acknowledged[-100:])}", flush=True)
    again(0)
    many("taken by nobody", lambda k: 2 * (N - k) - 1, 2, 0)
    many("then another, elsewhere", lambda k: 2 * (N - k) - 1, 3, 1)
    many("then the same, elsewhere", lambda k: 2 * (N - k) - 1, 2, 1)
    if N > 4200:
        print("below the bound:", order(0, 2, 2)[::2])
    for n in range(3):
        end(n)
    for n in range(3):
        start(n, False)
    time.sleep(2.5)
    again(1)
    print("after a start of all:", sizes())
    end(2)
    shutil.rmtree(f"{FOLDER}/disk-2")
    began = time.monotonic()
    start(2, False)
    votes = False
    while not votes and time.monotonic() < began + 20:
        time.sleep(0.02)
        try:
            votes = json.loads(call(2, "GET", "/hive/status")[2])["votes"]
        except OSError:
            pass
    print("an empty disk votes after %.2f s" % (time.monotonic() - began))
finally:
    for n in range(3):
        end(n)
    shutil.rmtree(FOLDER)
