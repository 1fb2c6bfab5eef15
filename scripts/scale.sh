#!/usr/bin/env bash
# The scale run's sweeps, one after the other: rows are added to the table named first (docs/results/scale.tsv
# if none is named). Which sweeps: the other arguments, or all. A run that fails is said so and passed over.
set -uo pipefail
cd "$(dirname "$0")/.."
table=${1:-docs/results/scale.tsv}
shift || true
sweeps=${*:-all workers foragers routes lines hives requests beside services apart}
scale=${SCALE:-target/release/elderpond-scale}
program=${PROGRAM:-target/release/elderpond}

run() {
    local sweep=$1
    shift
    echo "== $sweep $*; load $(cut -d' ' -f1 /proc/loadavg)" >&2
    timeout 590 "$scale" run --program "$program" --table "$table" --sweep "$sweep" "$@" ||
        echo "== $sweep $*: FAILED" >&2
}

for sweep in $sweeps; do
    case $sweep in
    all) # ten workers a forager, routes and services as the target has them for so many workers
        for foragers in 30 100 300 1000 1900; do
            run all --foragers $foragers --workers ${foragers}0
        done
        ;;
    five)
        for foragers in 30 100 300 1000 1900; do
            run five --hives 5 --foragers $foragers --workers ${foragers}0 --kills 0
        done
        ;;
    workers) # nothing but workers grow
        for workers in 300 1000 3000 10000 19000; do
            run workers --foragers 100 --workers $workers --routes 600 --services 35 --kills 0
        done
        ;;
    foragers) # nothing but foragers grow
        for foragers in 30 100 300 1000 3000; do
            run foragers --foragers $foragers --workers 1000 --kills 0
        done
        ;;
    routes)
        for routes in 100 1000 10000 30000; do
            run routes --foragers 100 --workers 1000 --routes $routes --pause 2 --kills 0
        done
        ;;
    lines) # what a forager tells of in a second
        for lines in 1 20 100 200; do
            run lines --foragers 300 --workers 3000 --lines $lines --kills 0
        done
        ;;
    services)
        for services in 30 300 1000 3800; do
            run services --foragers 100 --workers 3800 --routes 3800 --services $services --kills 0
        done
        ;;
    requests) # the way through a real forager
        for workers in 300 3000 10000; do
            run requests --foragers 30 --workers $workers --requests 400 --beat 6 --kills 0 --changes 1 --joins 0 --replaces 0
        done
        ;;
    beside) # requests beside versions
        for routes in 100 1000 10000 30000; do
            run beside --foragers 30 --workers 1000 --routes $routes --requests 400 --span 8 --pause 2 --beat 6 --kills 0 \
                --changes 1 --joins 0 --replaces 0
        done
        ;;
    beyond) # more workers than a hive keeps
        run beyond --foragers 100 --workers 30000 --beat 6 --kills 0
        ;;
    hives) # the same fleet before more hives
        for hives in 3 5 9; do
            run hives --hives $hives --foragers 300 --workers 3000 --kills 0
        done
        ;;
    apart) # a connection for each beat
        run apart --foragers 300 --workers 3000 --kills 0 --apart
        ;;
    slopes) # no run: what stands in the table, as slopes and a chart beside it
        {
            printf '# Slopes of the scale run\n\nBy `scripts/scale.sh %s slopes`; see [CAPACITY.md](../CAPACITY.md). ' "$table"
            printf 'The middle one of several runs, and their spread;\nthe power by least squares on logarithms, '
            printf 'with the largest factor by which a point lies off; a line by least squares.\n\n## Parts\n\n'
            "$scale" parts --table "$table"
            while read -r name axis to; do
                printf '\n## %s\n\n' "$name"
                "$scale" fit --table "$table" --sweep "$name" --axis "$axis" --to "$to"
            done <<<"all foragers 7300
workers workers 110000
foragers foragers 7300
routes routes 64000
services services 3800
lines lines 205
hives hives 23
requests workers 110000
beside routes 64000
beyond workers 110000
apart workers 110000
redb foragers 7300"
        } >"${table%.tsv}.md"
        "$scale" fit --table "$table" --sweep all --chart "${table%.tsv}.svg" --only "% of a core" --only "memory, MB" \
            --only "processor time" --only "bytes to" --only "ms, middle" --only "settled" --only "other hives" >/dev/null
        ;;
    *) echo "no sweep: $sweep" >&2 ;;
    esac
done
