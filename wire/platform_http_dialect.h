/** @file
 * How calls of the object API are written on HTTP, and how answers are read.
 *
 * platform_http.c makes the calls: connections, time limits, pages, what a
 * failure means.  A dialect holds paths and bodies only, so that an object
 * API with other names is served by the same client.
 */
#ifndef WIRE_PLATFORM_HTTP_DIALECT_H
#define WIRE_PLATFORM_HTTP_DIALECT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "wire/platform.h"
#include "wire/platform_http_reply.h"

/** A write as it goes out; texts are in new memory, for the client to free. */
struct platform_http_write
{
  const char *method;
  char *path;
  char *body;      /**< NULL: none */
  char *condition; /**< a whole header field; NULL: none */
};

struct platform_http_dialect
{
  /** Paths with query, in new memory. */
  char *(*get_path) (const char *kind, const char *name);
  /** AFTER: the name that the former page ended at; "" for the first. */
  char *(*list_path) (const char *kind, const char *after,
                      enum platform_read_mode age);
  char *(*watch_path) (const char *kind, uint64_t revision,
                       uint32_t timeout_ms, enum platform_read_mode age);
  /** EXPECTED_VERSION and VALUE as in platform_put(). */
  void (*write) (const char *kind, const char *name, uint64_t expected_version,
                 const char *value, struct platform_http_write *write);

  /** Read the body of an answer; also a failed read leaves a REPLY that
   * platform_http_reply_release() takes. */
  enum status (*read_object) (struct platform_http_reply *reply,
                              const char *kind, const char *text, size_t size);
  enum status (*read_list) (struct platform_http_reply *reply,
                            const char *kind, const char *text, size_t size);
  enum status (*read_changes) (struct platform_http_reply *reply,
                               const char *kind, const char *text,
                               size_t size);

  /** An answer of 503 says that nothing was done. */
  bool unavailable_has_no_effect;
};

/** jaystair's own, as docs/PLATFORM-API.md has it. */
extern const struct platform_http_dialect platform_http_dialect_native;

#endif
