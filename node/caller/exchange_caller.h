/** @file
 * The caller's side of an exchange, towards libmicrohttpd.
 */
#ifndef NODE_CALLER_EXCHANGE_CALLER_H
#define NODE_CALLER_EXCHANGE_CALLER_H

#include "node/caller/exchange.h"

/** Called from the library's access handler for a request whose head has been
 * read. */
enum MHD_Result exchange_on_request (struct exchange *x,
                                     const char *upload_data,
                                     size_t *upload_data_size);

/** Resume the suspended connection if the data that it waits for is available.
 */
void exchange_resume_connection (struct exchange *x);

/** Write the local response directly to the socket, because the library can't
 * queue a response before it has read the whole request body. */
void exchange_send_raw_response (struct exchange *x);

/** The host stops while X has a connection, which the library is going to
 * close: a part of a response must not look whole. */
void exchange_abort_response (struct exchange *x);

#endif
