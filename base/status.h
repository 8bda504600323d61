/** @file
 * Status codes of all modules, with a human-readable message.
 *
 * A function that can fail returns an `enum status`.  The message of the last
 * failure of this thread is available from status_message(); it states the
 * cause and the remedy.
 */
#ifndef BASE_STATUS_H
#define BASE_STATUS_H

/** Result of an operation. */
enum status
{
  STATUS_OK = 0,
  STATUS_INVALID,     /**< invalid input; the message says where */
  STATUS_NOT_FOUND,   /**< no such object */
  STATUS_REFUSED,     /**< refused by the other side; nothing was changed */
  STATUS_LOST_ANSWER, /**< sent, but no response: may have taken effect */
  STATUS_UNREACHABLE, /**< not sent; without effect */
  STATUS_TIMEOUT,     /**< the deadline passed */
  STATUS_LIMIT,       /**< a limit is reached */
  STATUS_CANCELLED,   /**< cancelled by the requester */
  STATUS_SYSTEM,      /**< error of the operating system (errno) */
};

/** Set the message of this thread (printf format) and return CODE. */
enum status status_set (enum status code, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/** Same as status_set() with STATUS_SYSTEM, and with the description of errno
 * appended to the message. */
enum status status_errno (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));

/** Message of the last failure of this thread; never NULL. */
const char *status_message (void);

/** Name of CODE in logs and JSON: "ok", "not-found", ... */
const char *status_name (enum status code);

#endif
