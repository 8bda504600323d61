/** @file
 * Executes a parsed statement and reports its result.
 */
#ifndef CTL_COMMANDS_H
#define CTL_COMMANDS_H

#include <stdbool.h>
#include <stdio.h>

#include "ctl/client.h"
#include "ctl/exit_code.h"
#include "ctl/statement.h"

/** Where and how results are printed. */
struct commands
{
  struct client *client;
  bool json;
  FILE *out;
  FILE *errors;
};

enum exit_code commands_run (const struct commands *commands,
                             const struct statement *statement);

/** Print the last status message as an error on one line.
 * @return the exit code for STATUS. */
enum exit_code commands_fail (const struct commands *commands,
                              enum status status);

/** Read TABLE of the host.  If the result isn't EXIT_CODE_DONE, the error is
 * printed already. */
enum exit_code commands_read_table (const struct commands *commands,
                                    const char *table,
                                    struct client_reply *reply);

/** Print the line that names the host whose view REPLY is, and its age. */
void commands_print_source (const struct commands *commands,
                            struct json_object *reply);

/** Print OBJECT as JSON. */
void commands_print_json (const struct commands *commands,
                          struct json_object *object);

#endif
