/** @file
 * `jaystair`: queries a host's view of the fleet and sends commands to the
 * fleet.
 */
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <argtable2.h>

#include "ctl/commands.h"
#include "ctl/statement.h"

enum
{
  WATCH_SECONDS = 2,
  ERRORS_MAX = 20,
};

static const char default_host[] = "127.0.0.1:8082";
static const char clear_screen_sequence[] = "\033[H\033[2J";

/** The command line; also the argument table of argtable2, in this order. */
struct arguments
{
  struct arg_str *host;
  struct arg_file *secret_file;
  struct arg_lit *json;
  struct arg_lit *watch;
  struct arg_lit *help;
  struct arg_lit *version;
  struct arg_str *words;
  struct arg_end *end;
};

static const char usage_text[]
    = "\n"
      "Statements:\n"
      "  show TABLE [where FIELD OP VALUE [and ...]]\n"
      "      TABLE: services targets hosts routes settings decisions\n"
      "             counters ejections;  OP: = != < > ~ (contains)\n"
      "  explain target TARGET\n"
      "  explain request ID [FILE]...    (logs of hosts; none: the input)\n"
      "  addresses SERVICE\n"
      "  drain|undrain|eject|reinstate TARGET [at version N]\n"
      "  pause|resume ejection SERVICE [at version N]\n"
      "  set floor SERVICE CAPACITY [at version N]\n"
      "TARGET is NAME, or SERVICE/NAME where the name isn't unique.\n"
      "\n"
      "Exit codes: 0 done, 1 refused by a conflict, 2 usage, 3 unreachable,\n"
      "4 outcome unknown, 5 not found, 6 not authorised.\n"
      "\n"
      "JAYSTAIR_HOST and JAYSTAIR_SECRET_FILE stand in for --host and\n"
      "--secret-file.  The manual is jaystair(1).\n";

static void
print_help (struct arguments *arguments)
{
  printf ("Usage: jaystair");
  arg_print_syntax (stdout, (void **)arguments, "\n");
  arg_print_glossary (stdout, (void **)arguments, "  %-26s %s\n");
  fputs (usage_text, stdout);
}

static const char *
option_or_environment (int count, const char *value, const char *variable)
{
  if (count > 0)
    return value;
  const char *text = getenv (variable);
  return text == NULL || text[0] == '\0' ? NULL : text;
}

/** Run the statement repeatedly, until interrupted or an error occurs. */
static enum exit_code
watch (const struct commands *commands, const struct statement *statement)
{
  const struct timespec pause = { .tv_sec = WATCH_SECONDS };
  for (;;)
    {
      if (isatty (STDOUT_FILENO))
        fputs (clear_screen_sequence, commands->out);
      const enum exit_code code = commands_run (commands, statement);
      if (code != EXIT_CODE_DONE || fflush (commands->out) != 0)
        return code;
      nanosleep (&pause, NULL);
    }
}

static enum exit_code
run_statement (const struct arguments *arguments,
               const struct statement *statement)
{
  struct commands commands = { .json = arguments->json->count > 0,
                               .out = stdout,
                               .errors = stderr };
  if (statement->kind == STATEMENT_EXPLAIN_REQUEST)
    return commands_run (&commands, statement);
  const char *host = option_or_environment (
      arguments->host->count, arguments->host->sval[0], "JAYSTAIR_HOST");
  const struct client_options options
      = { .host = host == NULL ? default_host : host,
          .secret_file = option_or_environment (
              arguments->secret_file->count,
              arguments->secret_file->filename[0], "JAYSTAIR_SECRET_FILE") };
  const enum status status = client_create (&options, &commands.client);
  if (status != STATUS_OK)
    return commands_fail (&commands, status);
  const enum exit_code code = arguments->watch->count > 0
                                  ? watch (&commands, statement)
                                  : commands_run (&commands, statement);
  client_destroy (commands.client);
  return code;
}

static enum exit_code
usage_error (const char *message)
{
  fprintf (stderr, "jaystair: %s; see jaystair --help\n", message);
  return EXIT_CODE_USAGE;
}

/** Print only the first error, since others often follow from it. */
static enum exit_code
option_error (struct arg_end *end)
{
  char *text = NULL;
  size_t size = 0;
  FILE *memory = open_memstream (&text, &size);
  if (memory == NULL)
    return usage_error ("out of memory");
  arg_print_errors (memory, end, "option");
  fclose (memory);
  text[strcspn (text, "\n")] = '\0';
  const enum exit_code code = usage_error (text);
  free (text);
  return code;
}

static enum exit_code
run (struct arguments *arguments, int errors)
{
  struct statement statement;
  if (arguments->help->count > 0)
    {
      print_help (arguments);
      return EXIT_CODE_DONE;
    }
  if (arguments->version->count > 0)
    {
      puts ("jaystair " JAYSTAIR_VERSION);
      return EXIT_CODE_DONE;
    }
  if (errors > 0)
    return option_error (arguments->end);
  if (statement_parse (arguments->words->sval, (size_t)arguments->words->count,
                       &statement)
      != STATUS_OK)
    return usage_error (status_message ());
  if (arguments->watch->count > 0
      && (statement.kind == STATEMENT_COMMAND
          || statement.kind == STATEMENT_EXPLAIN_REQUEST))
    return usage_error ("--watch repeats reads from hosts, not commands");
  return run_statement (arguments, &statement);
}

int
main (int argc, char **argv)
{
  struct arguments arguments = {
    .host = arg_str0 (NULL, "host", "IP:PORT",
                      "a host's operator address (127.0.0.1:8082)"),
    .secret_file
    = arg_file0 (NULL, "secret-file", "FILE", "holds the shared secret"),
    .json = arg_lit0 (NULL, "json", "answer in JSON, for machines"),
    .watch = arg_lit0 (NULL, "watch", "ask again every 2 seconds"),
    .help = arg_lit0 ("h", "help", "this text"),
    .version = arg_lit0 (NULL, "version", "the program's version"),
    .words = arg_strn (NULL, NULL, "STATEMENT", 0, STATEMENT_WORDS_MAX, NULL),
    .end = arg_end (ERRORS_MAX),
  };
  void **table = (void **)&arguments;
  if (arg_nullcheck (table) != 0)
    return usage_error ("out of memory");
  const int errors = arg_parse (argc, argv, table);
  const enum exit_code code = run (&arguments, errors);
  arg_freetable (table, sizeof arguments / sizeof (void *));
  return (int)code;
}
