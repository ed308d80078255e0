// Package earlysignal keeps a SIGHUP that arrives while an instance starts from ending the process. The default action of
// SIGHUP ends a process, and the Go runtime takes some milliseconds before any Go code can change that. An instance that
// ignores the signal then loses nothing: it reads its settings only later.
package earlysignal

/*
#include <features.h>
#include <signal.h>
#include <string.h>

#ifdef __GLIBC__
// The C library calls a constructor with the arguments of main, before the Go runtime starts. Other commands keep the default
// action, so that they end with their terminal. signal.Notify replaces the ignored action later.
__attribute__((constructor)) static void ignore_hangup(int argc, char **argv) {
	if (argc > 1 && strcmp(argv[1], "fleet") == 0 && (argc == 2 || strcmp(argv[2], "run") == 0)) {
		signal(SIGHUP, SIG_IGN);
	}
}
#endif
*/
import "C"
