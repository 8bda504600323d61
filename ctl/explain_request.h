/** @file
 * `explain request`: the timeline of one request, from the logs of hosts.
 */
#ifndef CTL_EXPLAIN_REQUEST_H
#define CTL_EXPLAIN_REQUEST_H

#include "ctl/commands.h"

enum exit_code explain_request_run (const struct commands *commands,
                                    const struct statement *statement);

#endif
