/** @file
 * `explain target`: a host's complete view of one target.
 */
#ifndef CTL_EXPLAIN_TARGET_H
#define CTL_EXPLAIN_TARGET_H

#include "ctl/commands.h"

enum exit_code explain_target_run (const struct commands *commands,
                                   const struct statement *statement);

#endif
