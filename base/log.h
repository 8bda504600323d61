/** @file
 * Structured logging with levels.
 *
 * Each line is an event, as `time level module event key=value ...` or as a
 * JSON object.  A source file defines its module before it includes this
 * header: `#define LOG_MODULE "router"`.  Lines of an event beyond its rate
 * limit are suppressed, and a later line reports their number.
 */
#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <errno.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"

enum log_level
{
  LOG_LEVEL_ERROR,
  LOG_LEVEL_WARNING,
  LOG_LEVEL_INFO,
  LOG_LEVEL_DEBUG,
};

/** Maximum size of a line; longer lines are truncated. */
#define LOG_LINE_SIZE 2048

/** A key and its value: the text, or the number if the text is NULL. */
struct log_field
{
  const char *key;
  const char *text;
  int64_t number;
};

/** A text field; a NULL value is written as "-". */
#define LOG_STR(name, value)                                                  \
  {                                                                           \
    .key = (name), .text = (value) ? (value) : "-", .number = 0               \
  }
/** An integer field. */
#define LOG_INT(name, value)                                                  \
  {                                                                           \
    .key = (name), .text = NULL, .number = (int64_t)(value)                   \
  }

/** Options of the logger; a zeroed struct has the defaults. */
struct log_options
{
  enum log_level level;        /**< the least severe level written */
  bool json;                   /**< JSON lines instead of key=value */
  int fd;                      /**< destination; 0 means standard error */
  uint32_t repeats_per_second; /**< maximum lines per event; 0: no limit */
  /** The same for warnings and errors.  It is separate because failures are
   * looked up in the log afterwards, so that more of their lines must be kept
   * than of successes. */
  uint32_t warnings_per_second;
};

void log_configure (const struct log_options *options);
bool log_enabled (enum log_level level);

/** Parse "error", "warning", "info" or "debug".
 * @return STATUS_INVALID for any other TEXT. */
enum status log_level_parse (const char *text, enum log_level *level);

/** Write an event.  Fields without a key are ignored: the macros pass one so
 * that the list is never empty. */
void log_write (enum log_level level, const char *module, const char *event,
                const struct log_field *fields, size_t count);

#define LOG_AT(level, event, ...)                                             \
  do                                                                          \
    {                                                                         \
      if (log_enabled (level))                                                \
        {                                                                     \
          const struct log_field log_fields_[]                                \
              = { { .key = NULL, .text = NULL, .number = 0 },                 \
                  ##__VA_ARGS__ };                                            \
          log_write (level, LOG_MODULE, event, log_fields_,                   \
                     sizeof log_fields_ / sizeof log_fields_[0]);             \
        }                                                                     \
    }                                                                         \
  while (0)

#define LOG_ERR(event, ...) LOG_AT (LOG_LEVEL_ERROR, event, ##__VA_ARGS__)
#define LOG_WARN(event, ...) LOG_AT (LOG_LEVEL_WARNING, event, ##__VA_ARGS__)
#define LOG_INFO(event, ...) LOG_AT (LOG_LEVEL_INFO, event, ##__VA_ARGS__)
/** Same as LOG_ERR with the description of errno. */
#define LOG_ERRNO(event, ...)                                                 \
  LOG_ERR (event, LOG_STR ("errno", strerror (errno)), ##__VA_ARGS__)
/** Compiled only with -DLOG_DEBUG. */
#ifdef LOG_DEBUG
#define LOG_DBG(event, ...) LOG_AT (LOG_LEVEL_DEBUG, event, ##__VA_ARGS__)
#else
#define LOG_DBG(event, ...)                                                   \
  do                                                                          \
    {                                                                         \
    }                                                                         \
  while (0)
#endif

#endif
