/** @file
 * The last known caller addresses of the other hosts, for relaying requests
 * with a ticket to the host that issued it.
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

/** The caller address of the host called NAME, or NULL. */
const char *host_directory_find (const struct host_directory *directory,
                                 const char *name);

#endif
