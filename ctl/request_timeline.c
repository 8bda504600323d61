#include "ctl/request_timeline.h"

#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"
#include "ctl/log_line.h"
#include "ctl/request_cause.h"

/** A growing list of lines. */
struct line_list
{
  struct log_line *lines;
  size_t count;
};

struct request_timeline
{
  char *id;
  struct line_list own;     /**< of the request */
  struct line_list context; /**< of targets and hosts, of any request */
  size_t seen;              /**< lines read */
  char *cause;
  struct json_object *missing;
};

/* Lines on what hosts believe; what happened to a target or a host shortly
   before an attempt explains how it ended. */
static const char *const context_events[]
    = { "target-gone",     "target-registered", "removal-held",
        "platform-failed", "platform-regained", "config-in-force",
        "config-accepted", "serving",           "leave",
        "stale",           "log-withheld",      "log-lost" };

struct request_timeline *
request_timeline_create (const char *id)
{
  struct request_timeline *story = xcalloc (1, sizeof *story);
  story->id = xstrdup (id);
  story->missing = json_object_new_array ();
  return story;
}

static void
list_release (struct line_list *list)
{
  for (size_t i = 0; i < list->count; i++)
    log_line_release (&list->lines[i]);
  free (list->lines);
}

void
request_timeline_destroy (struct request_timeline *story)
{
  list_release (&story->own);
  list_release (&story->context);
  json_object_put (story->missing);
  free (story->cause);
  free (story->id);
  free (story);
}

static void
list_add (struct line_list *list, const struct log_line *line)
{
  list->lines
      = xreallocarray (list->lines, list->count + 1, sizeof *list->lines);
  list->lines[list->count++] = *line;
}

static bool
is_context (const struct log_line *line)
{
  for (size_t i = 0; i < sizeof context_events / sizeof context_events[0]; i++)
    if (strcmp (line->event, context_events[i]) == 0)
      return true;
  return false;
}

void
request_timeline_read (struct request_timeline *story, const char *source,
                       FILE *file)
{
  char *text = NULL;
  size_t size = 0;
  while (getline (&text, &size, file) >= 0)
    {
      struct log_line line;
      if (!log_line_read (text, &line))
        continue;
      story->seen++;
      if (line.source[0] == '\0')
        snprintf (line.source, sizeof line.source, "%s", source);
      if (strcmp (log_line_text (&line, "id"), story->id) == 0)
        list_add (&story->own, &line);
      else if (is_context (&line))
        list_add (&story->context, &line);
      else
        log_line_release (&line);
    }
  free (text);
}

static int
by_time (const void *a, const void *b)
{
  const struct log_line *first = a;
  const struct log_line *second = b;
  return strcmp (first->time, second->time);
}

/* Lines of one millisecond stay as they were written. */
static void
list_sort (struct line_list *list)
{
  for (size_t i = 1; i < list->count; i++)
    {
      const struct log_line line = list->lines[i];
      size_t at = i;
      while (at > 0 && by_time (&list->lines[at - 1], &line) > 0)
        {
          list->lines[at] = list->lines[at - 1];
          at--;
        }
      list->lines[at] = line;
    }
}

static bool
is_about_targets (const struct request_timeline *story,
                  const struct log_line *line)
{
  const char *target = log_line_text (line, "target");
  for (size_t i = 0; target[0] != '\0' && i < story->own.count; i++)
    if (strcmp (log_line_text (&story->own.lines[i], "target"), target) == 0)
      return true;
  return false;
}

static bool
is_of_host (const struct request_timeline *story, const struct log_line *line)
{
  for (size_t i = 0; i < story->own.count; i++)
    if (strcmp (story->own.lines[i].source, line->source) == 0)
      return true;
  return false;
}

static bool
is_start (const struct log_line *line)
{
  return strcmp (line->event, "serving") == 0;
}

static bool
is_after_end (const struct request_timeline *story,
              const struct log_line *line)
{
  return story->own.count > 0
         && strcmp (line->time, story->own.lines[story->own.count - 1].time)
                > 0;
}

/* Later than the request's last line only what tells of lines left out, which
   is written with the next line that may pass, and that a host started anew:
   what it had under way before has no end in its log. */
static bool
is_told (const struct request_timeline *story, const struct log_line *line)
{
  if (story->own.count == 0)
    return is_start (line);
  const bool is_note = strncmp (line->event, "log-", 4) == 0;
  if (is_after_end (story, line) && !is_note && !is_start (line))
    return false;
  return is_of_host (story, line)
         && (log_line_text (line, "target")[0] == '\0'
             || is_about_targets (story, line));
}

static struct log_line *
find_like (struct line_list *list, const struct log_line *line)
{
  for (size_t i = 0; i < list->count; i++)
    if (strcmp (list->lines[i].event, line->event) == 0
        && strcmp (list->lines[i].source, line->source) == 0
        && strcmp (log_line_text (&list->lines[i], "target"),
                   log_line_text (line, "target"))
               == 0)
      return &list->lines[i];
  return NULL;
}

/* Of each event of a host and a target the last one before the end: it is
   what was in force.  Of starts after the end the first. */
static void
keep_latest (struct request_timeline *story)
{
  struct line_list kept = { NULL, 0 };
  for (size_t i = story->context.count; i-- > 0;)
    {
      struct log_line *line = &story->context.lines[i];
      struct log_line *like = find_like (&kept, line);
      if (!is_told (story, line)
          || (like != NULL && !is_after_end (story, line)))
        log_line_release (line);
      else if (like != NULL)
        {
          log_line_release (like);
          *like = *line;
        }
      else
        list_add (&kept, line);
    }
  free (story->context.lines);
  story->context = kept;
  list_sort (&story->context);
}

void
request_timeline_finish (struct request_timeline *story)
{
  list_sort (&story->own);
  list_sort (&story->context);
  keep_latest (story);
  story->cause
      = request_cause_find (story->own.lines, story->own.count,
                            story->context.lines, story->context.count);
  request_cause_missing (story->own.lines, story->own.count,
                         story->context.lines, story->context.count,
                         story->missing);
}

bool
request_timeline_is_found (const struct request_timeline *story)
{
  return story->own.count > 0;
}

static struct json_object *
line_json (const struct log_line *line)
{
  struct json_object *row = json_object_new_object ();
  json_object_object_add (row, "time", json_object_new_string (line->time));
  json_object_object_add (row, "host", json_object_new_string (line->source));
  json_object_object_add (row, "level", json_object_new_string (line->level));
  json_object_object_add (row, "module",
                          json_object_new_string (line->module));
  json_object_object_add (row, "event", json_object_new_string (line->event));
  json_object_object_add (row, "fields", json_object_get (line->fields));
  return row;
}

static struct json_object *
list_json (const struct line_list *list)
{
  struct json_object *rows = json_object_new_array ();
  for (size_t i = 0; i < list->count; i++)
    json_object_array_add (rows, line_json (&list->lines[i]));
  return rows;
}

struct json_object *
request_timeline_json (const struct request_timeline *story)
{
  struct json_object *tree = json_object_new_object ();
  json_object_object_add (tree, "id", json_object_new_string (story->id));
  json_object_object_add (tree, "lines", list_json (&story->own));
  json_object_object_add (tree, "context", list_json (&story->context));
  json_object_object_add (tree, "cause",
                          json_object_new_string (story->cause));
  json_object_object_add (tree, "missing", json_object_get (story->missing));
  return tree;
}

static void
print_list (const struct line_list *list, FILE *out)
{
  for (size_t i = 0; i < list->count; i++)
    {
      const struct log_line *line = &list->lines[i];
      fprintf (out, "  %s %s %s", line->time, line->source, line->event);
      json_object_object_foreach (line->fields, key, value)
      {
        if (strcmp (key, "id") != 0)
          fprintf (out, " %s=%s", key, json_object_get_string (value));
      }
      fputc ('\n', out);
    }
}

void
request_timeline_print (const struct request_timeline *story, FILE *out)
{
  fprintf (out, "request %s\n", story->id);
  print_list (&story->own, out);
  if (story->context.count > 0)
    {
      fputs ("what its hosts had learned of targets and settings\n", out);
      print_list (&story->context, out);
    }
  fprintf (out, "cause: %s\n", story->cause);
  for (size_t i = 0; i < json_object_array_length (story->missing); i++)
    fprintf (out, "missing: %s\n",
             json_object_get_string (
                 json_object_array_get_idx (story->missing, i)));
}
