/** @file
 * The platform's object API over HTTP and JSON (docs/PLATFORM-API.md).
 *
 * Reads and watches use kept connections.  Writes never do: libcurl sends a
 * request again on its own when a kept connection closes before the first
 * byte of an answer, and a write must not be repeated without its owner's
 * knowledge.
 *
 * With several addresses a call that surely wasn't sent goes to the next one;
 * a write whose answer was lost doesn't.
 */
#ifndef WIRE_PLATFORM_HTTP_H
#define WIRE_PLATFORM_HTTP_H

#include <stddef.h>
#include <stdint.h>

#include <ev.h>

#include "wire/platform.h"
#include "wire/platform_http_dialect.h"

/** Most addresses of one platform. */
#define PLATFORM_HTTP_ADDRESSES_MAX 8

struct platform_http_options
{
  struct ev_loop *loop;
  const char *const *addresses; /**< IP:PORT; copied */
  size_t count;
  uint32_t timeout_ms;         /**< of a call at one address; 0 means 2,000 */
  uint32_t connect_timeout_ms; /**< 0 means 1,000 */
  /** How calls are written; NULL means platform_http_dialect_own. */
  const struct platform_http_dialect *dialect;
};

/** @return NULL when there is no address or there are too many; the message
 * says so. */
struct platform *
platform_http_create (const struct platform_http_options *options);

#endif
