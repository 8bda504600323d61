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
  struct line_list context; /**< of targets and hosts, for any request */
  size_t lines_read;
  char *cause;
  struct json_object *missing;
};

/* Events of targets and hosts: one shortly before an attempt explains how the
   attempt ended. */
static const char *const context_events[] = { "target-gone",
                                              "target-registered",
                                              "removal-held",
                                              "platform-failed",
                                              "platform-regained",
                                              "config-in-force",
                                              "config-accepted",
                                              "serving",
                                              "leave",
                                              "stale",
                                              "log-withheld",
                                              "log-lost",
                                              "setting-received",
                                              "paused" };

struct request_timeline *
request_timeline_create (const char *id)
{
  struct request_timeline *timeline = xcalloc (1, sizeof *timeline);
  timeline->id = xstrdup (id);
  timeline->missing = json_object_new_array ();
  return timeline;
}

static void
list_release (struct line_list *list)
{
  for (size_t i = 0; i < list->count; i++)
    log_line_release (&list->lines[i]);
  free (list->lines);
}

void
request_timeline_destroy (struct request_timeline *timeline)
{
  list_release (&timeline->own);
  list_release (&timeline->context);
  json_object_put (timeline->missing);
  free (timeline->cause);
  free (timeline->id);
  free (timeline);
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
request_timeline_read (struct request_timeline *timeline, const char *source,
                       FILE *file)
{
  char *text = NULL;
  size_t size = 0;
  while (getline (&text, &size, file) >= 0)
    {
      struct log_line line;
      if (!log_line_read (text, &line))
        continue;
      timeline->lines_read++;
      if (line.source[0] == '\0')
        snprintf (line.source, sizeof line.source, "%s", source);
      if (strcmp (log_line_text (&line, "id"), timeline->id) == 0)
        list_add (&timeline->own, &line);
      else if (is_context (&line))
        list_add (&timeline->context, &line);
      else
        log_line_release (&line);
    }
  free (text);
}

static int
compare_time (const void *a, const void *b)
{
  const struct log_line *first = a;
  const struct log_line *second = b;
  return strcmp (first->time, second->time);
}

/* Insertion sort, which is stable: lines of the same millisecond keep the
   order in which they were written. */
static void
list_sort (struct line_list *list)
{
  for (size_t i = 1; i < list->count; i++)
    {
      const struct log_line line = list->lines[i];
      size_t position = i;
      while (position > 0
             && compare_time (&list->lines[position - 1], &line) > 0)
        {
          list->lines[position] = list->lines[position - 1];
          position--;
        }
      list->lines[position] = line;
    }
}

static bool
is_about_involved_target (const struct request_timeline *timeline,
                          const struct log_line *line)
{
  const char *target = log_line_text (line, "target");
  for (size_t i = 0; target[0] != '\0' && i < timeline->own.count; i++)
    if (strcmp (log_line_text (&timeline->own.lines[i], "target"), target)
        == 0)
      return true;
  return false;
}

static bool
is_of_involved_host (const struct request_timeline *timeline,
                     const struct log_line *line)
{
  for (size_t i = 0; i < timeline->own.count; i++)
    if (strcmp (timeline->own.lines[i].source, line->source) == 0)
      return true;
  return false;
}

static bool
is_start (const struct log_line *line)
{
  return strcmp (line->event, "serving") == 0;
}

static bool
is_after_end (const struct request_timeline *timeline,
              const struct log_line *line)
{
  return timeline->own.count > 0
         && strcmp (line->time,
                    timeline->own.lines[timeline->own.count - 1].time)
                > 0;
}

/* After the request's last line only two kinds of lines are relevant: those on
   suppressed lines, which are written with the next line that passes, and
   restarts of a host, whose log has no end for requests that were in flight
   before. */
static bool
is_relevant (const struct request_timeline *timeline,
             const struct log_line *line)
{
  if (timeline->own.count == 0)
    return is_start (line);
  const bool is_log_event = strncmp (line->event, "log-", 4) == 0;
  if (is_after_end (timeline, line) && !is_log_event && !is_start (line))
    return false;
  return is_of_involved_host (timeline, line)
         && (log_line_text (line, "target")[0] == '\0'
             || is_about_involved_target (timeline, line));
}

static struct log_line *
find_same_event (struct line_list *list, const struct log_line *line)
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

/* For each event, host and target, keeps the last line before the end, which
   was in force then, and the first start of a host after the end. */
static void
select_context (struct request_timeline *timeline)
{
  struct line_list selected = { NULL, 0 };
  for (size_t i = timeline->context.count; i-- > 0;)
    {
      struct log_line *line = &timeline->context.lines[i];
      struct log_line *previous = find_same_event (&selected, line);
      if (!is_relevant (timeline, line)
          || (previous != NULL && !is_after_end (timeline, line)))
        log_line_release (line);
      else if (previous != NULL)
        {
          log_line_release (previous);
          *previous = *line;
        }
      else
        list_add (&selected, line);
    }
  free (timeline->context.lines);
  timeline->context = selected;
  list_sort (&timeline->context);
}

void
request_timeline_finish (struct request_timeline *timeline)
{
  list_sort (&timeline->own);
  list_sort (&timeline->context);
  select_context (timeline);
  timeline->cause
      = request_cause_find (timeline->own.lines, timeline->own.count,
                            timeline->context.lines, timeline->context.count);
  request_cause_missing (timeline->own.lines, timeline->own.count,
                         timeline->context.lines, timeline->context.count,
                         timeline->missing);
}

bool
request_timeline_is_found (const struct request_timeline *timeline)
{
  return timeline->own.count > 0;
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
request_timeline_json (const struct request_timeline *timeline)
{
  struct json_object *root = json_object_new_object ();
  json_object_object_add (root, "id", json_object_new_string (timeline->id));
  json_object_object_add (root, "lines", list_json (&timeline->own));
  json_object_object_add (root, "context", list_json (&timeline->context));
  json_object_object_add (root, "cause",
                          json_object_new_string (timeline->cause));
  json_object_object_add (root, "missing",
                          json_object_get (timeline->missing));
  return root;
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
request_timeline_print (const struct request_timeline *timeline, FILE *out)
{
  fprintf (out, "request %s\n", timeline->id);
  print_list (&timeline->own, out);
  if (timeline->context.count > 0)
    {
      fputs ("what its hosts had learned of targets and settings\n", out);
      print_list (&timeline->context, out);
    }
  fprintf (out, "cause: %s\n", timeline->cause);
  for (size_t i = 0; i < json_object_array_length (timeline->missing); i++)
    fprintf (out, "missing: %s\n",
             json_object_get_string (
                 json_object_array_get_idx (timeline->missing, i)));
}
