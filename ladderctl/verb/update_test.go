package verb

import "flag"

var update = flag.Bool("update", false, "write what was seen into the expected files; read the diff before you commit it")
