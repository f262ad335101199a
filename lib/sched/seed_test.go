package sched

import _ "anvilwick.example/anvilwick/lib/testseed" // fixed seeds
