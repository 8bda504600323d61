/** @file
 * Where callers reach the other hosts, as last heard: needed to pass a ticket
 * on to the host that issued it.
 */
#ifndef NODE_CALLER_HOST_DIRECTORY_H
#define NODE_CALLER_HOST_DIRECTORY_H

#include "node/bus.h"

struct host_directory;

struct host_directory *host_directory_create (void);
void host_directory_destroy (struct host_directory *directory);

/** Take in the hosts of SET. */
void host_directory_update (struct host_directory *directory,
                            const struct bus_host_set *set);

/** The caller address of the host called NAME, or NULL. */
const char *host_directory_find (const struct host_directory *directory,
                                 const char *name);

#endif
