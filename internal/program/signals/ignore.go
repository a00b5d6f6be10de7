package signals

import "C" // for ignore.c, which runs before the runtime
