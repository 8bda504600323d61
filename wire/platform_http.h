/** @file
 * Client of the platform's object API over HTTP and JSON
 * (docs/PLATFORM-API.md).
 *
 * Reads and watches reuse connections.  Writes don't: libcurl resends a
 * request on its own if a reused connection closes before the first byte of
 * the response, and a write must not be repeated without its owner's
 * knowledge.
 *
 * Versions and revisions have the era of the response.  What a platform
 * answered before it was restored isn't passed on once another response has
 * shown the restore, and neither are the changes since a revision of another
 * era; a write whose condition is of another era is refused without being
 * sent.
 *
 * With several addresses, a call that was certainly not sent is retried at the
 * next one; a write whose response was lost isn't.
 */
#ifndef WIRE_PLATFORM_HTTP_H
#define WIRE_PLATFORM_HTTP_H

#include <stddef.h>
#include <stdint.h>

#include <ev.h>

#include "wire/platform.h"
#include "wire/platform_http_dialect.h"

/** Maximum number of addresses of a platform. */
#define PLATFORM_HTTP_ADDRESSES_MAX 8

struct platform_http_options
{
  struct ev_loop *loop;
  const char *const *addresses; /**< IP:PORT; copied */
  size_t count;
  uint32_t timeout_ms;         /**< per call and address; 0 means 2,000 */
  uint32_t connect_timeout_ms; /**< 0 means 1,000 */
  /** Format of calls; NULL means platform_http_dialect_native. */
  const struct platform_http_dialect *dialect;
};

/** @return NULL, with a message, if there are no or too many addresses. */
struct platform *
platform_http_create (const struct platform_http_options *options);

#endif
