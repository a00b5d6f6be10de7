#include <signal.h>
#include <string.h>

// serves reports whether the arguments are those of a process that serves.
static int serves(int argc, char **argv) {
	static const char *const commands[] = {"serve", "entry", "sidecar"};
	if (argc < 2) {
		return 0;
	}
	for (size_t n = 0; n < sizeof commands / sizeof commands[0]; n++) {
		if (strcmp(argv[1], commands[n]) == 0) {
			return 1;
		}
	}
	return 0;
}

// ignore_hangups ignores SIGHUP in a process that serves; a terminal that closes ends other commands. The runtime leaves
// an ignored SIGHUP as it is until the program asks for it. The C library passes the arguments to each constructor.
__attribute__((constructor)) static void ignore_hangups(int argc, char **argv) {
	if (serves(argc, argv)) {
		signal(SIGHUP, SIG_IGN);
	}
}
