#!/usr/bin/env bash
# The scale run's sweeps, one after the other: rows are added to the table named first (docs/results/scale.tsv
# if none is named). Which sweeps: the other arguments, or all. A run that fails is said so and passed over.
set -uo pipefail
cd "$(dirname "$0")/.."
table=${1:-docs/results/scale.tsv}
shift || true
sweeps=${*:-all workers foragers routes lines hives requests services apart}
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
    *) echo "no sweep: $sweep" >&2 ;;
    esac
done
