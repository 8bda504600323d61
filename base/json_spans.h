/** @file
 * Spans of the members and elements of JSON text, without a tree.
 *
 * The walk knows strings and brackets only, so that a value that no parser
 * accepts costs itself and not the values beside it.  Memory doesn't depend on
 * the text or its nesting.
 */
#ifndef BASE_JSON_SPANS_H
#define BASE_JSON_SPANS_H

#include <stdbool.h>
#include <stddef.h>

/** Part of a text; not terminated by a NUL. */
struct json_span
{
  const char *text; /**< NULL: none */
  size_t size;
};

/** Walk over the members of an object or the elements of an array. */
struct json_spans
{
  const char *at;
  const char *end;
  char closing;     /**< bracket that ends the walk */
  bool is_first;    /**< no member or element was returned yet */
  bool is_complete; /**< the closing bracket was found, and nothing but white
                       space after it */
};

/** Begin a walk over the object VALUE.
 * @return whether it begins as an object */
bool json_spans_open_object (struct json_spans *spans, struct json_span value);

/** Begin a walk over the array VALUE.
 * @return whether it begins as an array */
bool json_spans_open_array (struct json_spans *spans, struct json_span value);

/** Next member of an object: KEY without its quotes, with its escapes.
 * @return false at the end, or where the text is broken: see `is_complete` */
bool json_spans_next_member (struct json_spans *spans, struct json_span *key,
                             struct json_span *value);

/** Next element of an array.
 * @return as json_spans_next_member() */
bool json_spans_next_element (struct json_spans *spans,
                              struct json_span *value);

/** Find a member of the object TEXT; the last one if several have this key.
 * @return whether the object is complete; VALUE is empty if it has no such
 *   member */
bool json_spans_member (struct json_span text, const char *key,
                        struct json_span *value);

/** Whether SPAN is exactly TEXT, such as a literal. */
bool json_span_equals (struct json_span span, const char *text);

#endif
