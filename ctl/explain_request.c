#include "ctl/explain_request.h"

#include <errno.h>
#include <string.h>

#include "ctl/log_line.h"
#include "ctl/request_timeline.h"

/* The host that a log is of, where its lines don't say: the file's name. */
static void
read_as_host (struct request_timeline *story, const char *path, FILE *file)
{
  static const char ending[] = ".log";
  const char *slash = strrchr (path, '/');
  const char *name = slash == NULL ? path : slash + 1;
  size_t length = strlen (name);
  if (length >= sizeof ending
      && strcmp (name + length - (sizeof ending - 1), ending) == 0)
    length -= sizeof ending - 1;
  char host[LOG_LINE_WORD_SIZE];
  snprintf (host, sizeof host, "%.*s", (int)length, name);
  request_timeline_read (story, host, file);
}

static enum status
read_file (struct request_timeline *story, const char *path)
{
  if (strcmp (path, "-") == 0)
    {
      request_timeline_read (story, "input", stdin);
      return STATUS_OK;
    }
  FILE *file = fopen (path, "re");
  if (file == NULL)
    return status_set (STATUS_NOT_FOUND,
                       "%s: %s; name the files that hold the hosts' logs, or "
                       "none to read them from the input",
                       path, strerror (errno));
  read_as_host (story, path, file);
  fclose (file);
  return STATUS_OK;
}

static enum status
read_all (struct request_timeline *story, const struct statement *statement)
{
  if (statement->file_count == 0)
    return read_file (story, "-");
  for (size_t i = 0; i < statement->file_count; i++)
    {
      const enum status status = read_file (story, statement->files[i]);
      if (status != STATUS_OK)
        return status;
    }
  return STATUS_OK;
}

static enum exit_code
tell (const struct commands *commands, const struct statement *statement,
      const struct request_timeline *story)
{
  if (commands->json)
    {
      struct json_object *tree = request_timeline_json (story);
      commands_print_json (commands, tree);
      json_object_put (tree);
    }
  if (!request_timeline_is_found (story))
    return commands_fail (
        commands,
        status_set (STATUS_NOT_FOUND,
                    "no line of these logs has the id \"%.64s\"; give the "
                    "logs of all hosts, for the time of the request",
                    statement->request));
  if (!commands->json)
    request_timeline_print (story, commands->out);
  return EXIT_CODE_DONE;
}

enum exit_code
explain_request_run (const struct commands *commands,
                     const struct statement *statement)
{
  struct request_timeline *story
      = request_timeline_create (statement->request);
  const enum status status = read_all (story, statement);
  request_timeline_finish (story);
  const enum exit_code code = status == STATUS_OK
                                  ? tell (commands, statement, story)
                                  : commands_fail (commands, status);
  request_timeline_destroy (story);
  return code;
}
