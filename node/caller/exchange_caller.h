/** @file
 * The caller's end of an exchange, towards libmicrohttpd.
 */
#ifndef NODE_CALLER_EXCHANGE_CALLER_H
#define NODE_CALLER_EXCHANGE_CALLER_H

#include "node/caller/exchange.h"

/** The library's access handler, for a request whose head was looked at. */
enum MHD_Result exchange_on_request (struct exchange *x,
                                     const char *upload_data,
                                     size_t *upload_data_size);

/** Let the library go on if what it was suspended for is there. */
void exchange_resume_connection (struct exchange *x);

/** Write the own answer past the library, which can't take a response before
 * it has read all of the request's body. */
void exchange_send_raw_response (struct exchange *x);

#endif
