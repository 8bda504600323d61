/** @file
 * The key in a request's header: `Authorization: Bearer KEY`.
 */
#ifndef NODE_CALLER_REQUEST_KEY_H
#define NODE_CALLER_REQUEST_KEY_H

#include "base/digest.h"
#include "node/caller/header_list.h"

enum request_key_state
{
  REQUEST_KEY_NONE,
  REQUEST_KEY_MALFORMED, /**< a field without a valid key, or several fields */
  REQUEST_KEY_GIVEN
};

struct request_key
{
  enum request_key_state state;
  struct digest digest; /**< with REQUEST_KEY_GIVEN */
};

/** Read the key from HEADERS. */
struct request_key request_key_read (const struct header_list *headers);

#endif
