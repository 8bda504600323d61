/** @file
 * Parser of the lines of a host's log, which base/log.h writes.
 */
#ifndef CTL_LOG_LINE_H
#define CTL_LOG_LINE_H

#include <stdbool.h>
#include <stdint.h>

#include <json-c/json.h>

#define LOG_LINE_TIME_SIZE 32
#define LOG_LINE_WORD_SIZE 64

struct log_line
{
  char time[LOG_LINE_TIME_SIZE];   /**< as written; sorts as text */
  char source[LOG_LINE_WORD_SIZE]; /**< word before the time; "" is none */
  char level[LOG_LINE_WORD_SIZE];
  char module[LOG_LINE_WORD_SIZE];
  char event[LOG_LINE_WORD_SIZE];
  struct json_object *fields; /**< by key */
};

/** Parse TEXT, in either format.  Log collectors may prepend words to the
 * time; the last of them is taken as the name of the host.
 * @return false, with nothing to release, if TEXT isn't a log line. */
bool log_line_read (const char *text, struct log_line *line);

void log_line_release (struct log_line *line);

/** A field as text, "" if absent; valid until the line is released. */
const char *log_line_text (const struct log_line *line, const char *key);

/** A field as a number, 0 if absent. */
int64_t log_line_number (const struct log_line *line, const char *key);

#endif
