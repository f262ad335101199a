package ownerlink

import _ "anvilwick.example/anvilwick/lib/testseed" // fixed seeds
