/** @file
 * Bodies of the platform's answers (docs/PLATFORM-API.md), read and checked.
 */
#ifndef WIRE_PLATFORM_HTTP_REPLY_H
#define WIRE_PLATFORM_HTTP_REPLY_H

#include <stddef.h>
#include <stdint.h>

#include <json-c/json.h>

#include "base/status.h"
#include "wire/platform.h"

/** Objects of one answer; their texts live as long as it. */
struct platform_http_reply
{
  struct json_object *tree;
  struct platform_object *objects;
  size_t count;
  uint64_t revision; /**< 0 in an answer about one object */
  /** Of a list that goes on: the name to go on after; else "". */
  char continue_after[PLATFORM_NAME_SIZE];
};

/** Read `{"name","version","value"}`. */
enum status platform_http_reply_object (struct platform_http_reply *reply,
                                        const char *text, size_t size);

/** Read `{"revision","objects":[...]}`. */
enum status platform_http_reply_list (struct platform_http_reply *reply,
                                      const char *text, size_t size);

/** Release what a read left, also a failed one; zeroed is fine too. */
void platform_http_reply_release (struct platform_http_reply *reply);

#endif
