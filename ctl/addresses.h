/** @file
 * `addresses`: the addresses that a host returns to its callers.
 */
#ifndef CTL_ADDRESSES_H
#define CTL_ADDRESSES_H

#include "ctl/commands.h"

enum exit_code addresses_run (const struct commands *commands,
                              const struct statement *statement);

#endif
