/** @file
 * Takes quota tokens of workspaces for the requests that this host receives,
 * from a cache for each workspace, and requests more over the bus before a
 * cache is empty.
 */
#ifndef NODE_CALLER_QUOTA_CLIENT_H
#define NODE_CALLER_QUOTA_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

#include "node/bus.h"
#include "policy/quota/quota_cache.h"

struct quota_client;

struct quota_client *quota_client_create (struct bus *bus);
void quota_client_destroy (struct quota_client *client);

/** Take a token of WORKSPACE, the hash of its name, for a request.  With
 * QUOTA_WAIT the request counts as waiting until quota_client_cancel_wait().
 * @param again the request has tried to take a token before
 * @param expires_ms when the token expires, with QUOTA_TAKEN */
enum quota_verdict quota_client_take (struct quota_client *client,
                                      uint64_t workspace, bool again,
                                      int64_t *expires_ms);

/** Record that a request that got QUOTA_WAIT no longer waits. */
void quota_client_cancel_wait (struct quota_client *client,
                               uint64_t workspace);

/** Return a token that was taken for a request that has certainly not run. */
void quota_client_return (struct quota_client *client, uint64_t workspace,
                          int64_t expires_ms);

/** The time until WORKSPACE, which has no token, may get one. */
uint32_t quota_client_next_token_ms (const struct quota_client *client,
                                     uint64_t workspace);

/** The longest time to let a request wait for a token. */
uint32_t quota_client_max_wait_ms (const struct quota_client *client,
                                   uint64_t workspace);

/** Add the tokens that a quota coordinator has granted. */
void quota_client_receive_grant (struct quota_client *client,
                                 uint64_t workspace,
                                 const struct quota_answer *answer);

#endif
