/** @file
 * HTTP paths and bodies of the object API.
 *
 * platform_http.c is the client: it handles connections, timeouts, pages and
 * failures.  A dialect only defines paths and bodies, so that the same client
 * supports object APIs with other names.
 */
#ifndef WIRE_PLATFORM_HTTP_DIALECT_H
#define WIRE_PLATFORM_HTTP_DIALECT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "wire/platform.h"
#include "wire/platform_http_reply.h"

/** Request of a write.  The strings are in new memory, which the client
 * frees. */
struct platform_http_write
{
  const char *method;
  char *path;
  char *body;      /**< NULL: none */
  char *condition; /**< a complete header field; NULL: none */
};

struct platform_http_dialect
{
  /** Format a path with its query, in new memory. */
  char *(*get_path) (const char *kind, const char *name);
  /** AFTER is the last name of the previous page; "" for the first page. */
  char *(*list_path) (const char *kind, const char *after,
                      enum platform_read_mode mode);
  /** Revisions and versions are those of the platform. */
  char *(*watch_path) (const char *kind, uint64_t revision,
                       uint32_t timeout_ms, enum platform_read_mode mode);
  /** EXPECTED_VERSION and VALUE as in platform_put(). */
  void (*write) (const char *kind, const char *name, uint64_t expected_version,
                 const char *value, struct platform_http_write *write);

  /** Parse the body of a response.  REPLY must be released with
   * platform_http_reply_release(), also after a failure. */
  enum status (*read_object) (struct platform_http_reply *reply,
                              const char *kind, const char *text, size_t size);
  enum status (*read_list) (struct platform_http_reply *reply,
                            const char *kind, const char *text, size_t size);
  enum status (*read_changes) (struct platform_http_reply *reply,
                               const char *kind, const char *text,
                               size_t size);

  /** Header field with the era in all responses; a platform without it has
   * no eras. */
  const char *era_field;

  /** A response with status 503 means that the call had no effect. */
  bool unavailable_has_no_effect;
};

/** The dialect of docs/PLATFORM-API.md. */
extern const struct platform_http_dialect platform_http_dialect_native;

#endif
