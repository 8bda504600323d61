/** @file
 * Parsing of response bodies of the platform (docs/PLATFORM-API.md).
 */
#ifndef WIRE_PLATFORM_HTTP_REPLY_H
#define WIRE_PLATFORM_HTTP_REPLY_H

#include <stddef.h>
#include <stdint.h>

#include <json-c/json.h>

#include "base/status.h"
#include "wire/platform.h"

/** Objects of a response.  Their strings are valid until it is released. */
struct platform_http_reply
{
  struct json_object *tree;
  struct platform_object *objects;
  size_t count;
  size_t capacity; /**< of `objects`, where their number isn't known before */
  size_t skipped;  /**< objects that can't be read */
  uint64_t revision; /**< of a list; 0 for a single object */
  /** The last name of a page if there are more pages; else "". */
  char continue_after[PLATFORM_NAME_SIZE];
};

/** Parse `{"name","version","value"}`. */
enum status platform_http_reply_object (struct platform_http_reply *reply,
                                        const char *text, size_t size);

/** Parse `{"revision","objects":[...]}`. */
enum status platform_http_reply_list (struct platform_http_reply *reply,
                                      const char *text, size_t size);

/** Release the result of a parse, even of a failed one.  A zeroed REPLY is
 * allowed. */
void platform_http_reply_release (struct platform_http_reply *reply);

#endif
