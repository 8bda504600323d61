/** @file
 * `explain request`: one request's story from the logs of hosts.
 */
#ifndef CTL_REQUEST_COMMAND_H
#define CTL_REQUEST_COMMAND_H

#include "ctl/commands.h"

enum exit_code request_command_run (const struct commands *commands,
                                    const struct statement *statement);

#endif
