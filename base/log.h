/** @file
 * Leveled, structured logs.
 *
 * One event a line, as `time level module event key=value ...` or as a JSON
 * object.  A source names its module once, before including this header:
 * `#define LOG_MODULE "router"`.  Lines that repeat one event faster than
 * the limit are counted and summed up instead of written.
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

/** Longest line written; what is beyond it is cut. */
#define LOG_LINE_SIZE 2048

/** One key with its value: text where text isn't NULL, else the number. */
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
/** A whole-number field. */
#define LOG_INT(name, value)                                                  \
  {                                                                           \
    .key = (name), .text = NULL, .number = (int64_t)(value)                   \
  }

/** How the logger behaves; the defaults are those of a zeroed struct. */
struct log_options
{
  enum log_level level;        /**< the least grave level written */
  bool json;                   /**< JSON lines in place of key=value */
  int fd;                      /**< where to; 0 means standard error */
  uint32_t repeats_per_second; /**< lines an event may write; 0: no limit */
  /** The same for warnings and errors: what fails is asked for afterwards, so
   * more of it is kept than of what goes well. */
  uint32_t warnings_per_second;
};

void log_configure (const struct log_options *options);
bool log_enabled (enum log_level level);

/** "error", "warning", "info" or "debug"; STATUS_INVALID otherwise. */
enum status log_level_parse (const char *text, enum log_level *level);

/** Write one event.  The first field of FIELDS is a blank that lets the
 * macros pass none. */
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
/** As LOG_ERR with the text of errno. */
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
