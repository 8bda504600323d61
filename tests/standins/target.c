/* Program of a stand-in target.
   usage: standin_target --listen IP:PORT --name NAME */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include <ev.h>

#include "tests/standins/target_server.h"

static void
on_signal (struct ev_loop *loop, ev_signal *watcher, int events)
{
  ev_break (loop, EVBREAK_ALL);
}

int
main (int argc, char **argv)
{
  const char *listen = "127.0.0.1:0";
  const char *name = "target";
  for (int i = 1; i + 1 < argc; i += 2)
    {
      if (strcmp (argv[i], "--listen") == 0)
        listen = argv[i + 1];
      else if (strcmp (argv[i], "--name") == 0)
        name = argv[i + 1];
    }
  struct ev_loop *loop = ev_default_loop (0);
  struct target_server *server = target_server_create (loop, listen, name);
  if (server == NULL)
    {
      fprintf (stderr, "can't listen on %s\n", listen);
      return 1;
    }
  target_server_log_runs (server, stdout);
  ev_signal term;
  ev_signal interrupt;
  ev_signal_init (&term, on_signal, SIGTERM);
  ev_signal_init (&interrupt, on_signal, SIGINT);
  ev_signal_start (loop, &term);
  ev_signal_start (loop, &interrupt);
  printf ("listening %s\n", target_server_address (server));
  fflush (stdout);
  ev_run (loop, 0);
  target_server_destroy (server);
  ev_loop_destroy (loop);
  return 0;
}
