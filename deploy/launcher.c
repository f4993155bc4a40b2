/*
 * Runs the daemon with its signals blocked until it handles them.
 *
 * The interpreter takes some time to run the first line of the program, and a
 * signal in that time would end the process. Its library is loaded only once
 * the signals are blocked, since that takes time, too.
 *
 * With the argument --check it imports the daemon and exits.
 */

#include <dlfcn.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CHECK "from sassafraswood.sidecar import startup"

static void
block_signals(void)
{
    sigset_t handled;

    sigemptyset(&handled);
    sigaddset(&handled, SIGHUP);
    sigaddset(&handled, SIGINT);
    sigaddset(&handled, SIGTERM);
    sigprocmask(SIG_BLOCK, &handled, NULL);
}

int
main(int argc, char **argv)
{
    char *run[] = {PYTHON, "-S", "-P", "-m", "sassafraswood.sidecar", NULL};
    char *check[] = {PYTHON, "-S", "-P", "-c", CHECK, NULL};
    int is_check = argc > 1 && strcmp(argv[1], "--check") == 0;
    int (*run_interpreter)(int, char **) = NULL;
    void *library;

    block_signals();
    setenv("PYTHONPATH", "target/deps", 0);
    library = dlopen(PYTHON_LIBRARY, RTLD_NOW | RTLD_GLOBAL);
    if (library != NULL)
        run_interpreter = (int (*)(int, char **))dlsym(library, "Py_BytesMain");
    if (run_interpreter == NULL) {
        fprintf(stderr, "%s: %s\n", PYTHON_LIBRARY, dlerror());
        return 1;
    }
    return run_interpreter(5, is_check ? check : run);
}
