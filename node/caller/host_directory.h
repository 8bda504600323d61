/** @file
 * The last known caller addresses of the other hosts, for relaying requests
 * with a ticket to the host that issued it, and for attempts through other
 * hosts.
 */
#ifndef NODE_CALLER_HOST_DIRECTORY_H
#define NODE_CALLER_HOST_DIRECTORY_H

#include "node/bus.h"

struct host_directory;

struct host_directory *host_directory_create (void);
void host_directory_destroy (struct host_directory *directory);

/** Add the hosts of SET, or update their addresses. */
void host_directory_update (struct host_directory *directory,
                            const struct bus_host_set *set);

/** Replace the hosts to choose from. */
void host_directory_set_sample (struct host_directory *directory,
                                const struct bus_host_set *sample);

/** Which host of the sample to choose. */
struct host_directory_choice
{
  uint64_t key;     /**< the same key chooses the same host */
  uint32_t attempt; /**< another one chooses another host */
  bool (*is_candidate) (const void *owner, const struct bus_host_entry *host);
  const void *owner;
};

/** The candidate of the highest rank by rendezvous hashing, or NULL. */
const struct bus_host_entry *
host_directory_choose (const struct host_directory *directory,
                       const struct host_directory_choice *choice);

/** Whether callers reach a host at the address IP. */
bool host_directory_has_ip (const struct host_directory *directory,
                            const char *ip);

/** The caller address of the host called NAME, or NULL. */
const char *host_directory_find (const struct host_directory *directory,
                                 const char *name);

#endif
