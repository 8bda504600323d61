/** @file
 * The tokens of workspaces that this host holds, for the requests that come
 * to it: asks for more over the bus before they are used up.
 */
#ifndef NODE_CALLER_QUOTA_CLIENT_H
#define NODE_CALLER_QUOTA_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

#include "node/bus.h"
#include "policy/quota/quota_cache.h"

struct quota_client;

struct quota_client *quota_client_create (struct bus *bus);
void quota_client_destroy (struct quota_client *desk);

/** A token of WORKSPACE, the hash of its name.  With QUOTA_WAIT the request is
 * one that waits, until quota_client_cancel_wait().
 * @param again the request has asked before
 * @param until_ms when the token ends, with QUOTA_TAKEN */
enum quota_verdict quota_client_take (struct quota_client *desk,
                                      uint64_t workspace, bool again,
                                      int64_t *until_ms);

/** A request that was told QUOTA_WAIT waits no more. */
void quota_client_cancel_wait (struct quota_client *desk, uint64_t workspace);

/** Give back a token that was taken for what surely doesn't run. */
void quota_client_return (struct quota_client *desk, uint64_t workspace,
                          int64_t until_ms);

/** How long until WORKSPACE may have a token, once it has none. */
uint32_t quota_client_next_token_ms (const struct quota_client *desk,
                                     uint64_t workspace);

/** For how long a request that has to wait may be held. */
uint32_t quota_client_max_wait_ms (const struct quota_client *desk,
                                   uint64_t workspace);

/** A keeper has answered. */
void quota_client_receive_grant (struct quota_client *desk, uint64_t workspace,
                                 const struct quota_answer *answer);

#endif
