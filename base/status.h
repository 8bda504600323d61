/** @file
 * Outcome codes shared by all packages, with a last message for people.
 *
 * A function that can fail returns an `enum status`.  The message that goes
 * with the newest failure of this thread is read with status_message(); it
 * says what was wrong and what would mend it.
 */
#ifndef BASE_STATUS_H
#define BASE_STATUS_H

/** How an operation ended. */
enum status
{
  STATUS_OK = 0,
  STATUS_INVALID,     /**< the input is wrong; the message says where */
  STATUS_NOT_FOUND,   /**< no such object */
  STATUS_REFUSED,     /**< the other side said no; nothing was changed */
  STATUS_LOST_ANSWER, /**< sent, answer not seen: may have taken effect */
  STATUS_UNREACHABLE, /**< never sent; surely without effect */
  STATUS_TIMEOUT,     /**< the deadline passed */
  STATUS_LIMIT,       /**< a bound of ours is reached */
  STATUS_CANCELLED,   /**< the asker went away */
  STATUS_SYSTEM,      /**< the operating system said no (errno) */
};

/** Record MESSAGE (printf format) as the last one and return CODE. */
enum status status_set (enum status code, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/** As status_set(), with the text of errno behind the message; the code is
 * STATUS_SYSTEM. */
enum status status_errno (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));

/** The message of the newest failure of this thread; never NULL. */
const char *status_message (void);

/** The code's short name, as in logs and JSON: "ok", "not-found", ... */
const char *status_name (enum status code);

#endif
