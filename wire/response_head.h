/** @file
 * Whether the head of a response that libcurl receives is whole.
 *
 * A head that ends before its empty line, because the server closed the
 * connection, is CURLE_OK for libcurl 7.88: the transfer has the status of the
 * first line and no body, unless a length above 0 was announced before.  Such
 * a response says nothing.  All users of libcurl take the end of a transfer
 * from response_head_result().
 */
#ifndef WIRE_RESPONSE_HEAD_H
#define WIRE_RESPONSE_HEAD_H

#include <stdbool.h>
#include <stddef.h>

#include <curl/curl.h>

/** What a line of a response is. */
enum response_line
{
  RESPONSE_LINE_STATUS,      /**< starts a head; the ones before don't count */
  RESPONSE_LINE_FIELD,       /**< of the head */
  RESPONSE_LINE_INTERIM_END, /**< empty, of a 1xx head */
  RESPONSE_LINE_END,         /**< empty, of the head of the final response */
  RESPONSE_LINE_TRAILER      /**< after the body */
};

/** How far a response has been received. */
enum response_part
{
  RESPONSE_NONE, /**< no whole line, or only 1xx responses */
  RESPONSE_HEAD, /**< a part of the head */
  RESPONSE_BODY  /**< the whole head */
};

/** Called with each line as it is received, with its line end.
 * @return false to abort the transfer */
typedef bool response_head_line (void *owner, enum response_line what,
                                 const char *line, size_t size);

struct response_head
{
  CURL *easy;
  response_head_line *on_line;
  void *owner;
  enum response_part part;
  bool is_malformed; /**< it has a line that belongs to no head, or the status
                          line of another one, or switches protocols; the
                          transfer is aborted */
  size_t trailer_bytes; /**< beyond 16 KiB the transfer is aborted */
};

/** Follow the responses of EASY.  This sets its header callback; ON_LINE may
 * be NULL. */
void response_head_attach (struct response_head *head, CURL *easy,
                           response_head_line *on_line, void *owner);

/** Expect another response, to be called before EASY is started again. */
void response_head_restart (struct response_head *head);

/** The result of the transfer of EASY, for which libcurl reports CODE.
 * @return CURLE_GOT_NOTHING or CURLE_PARTIAL_FILE in place of CURLE_OK if the
 * head isn't whole */
CURLcode response_head_result (const struct response_head *head,
                               CURLcode code);

/** What came of the response of a transfer that failed: "no answer", "the
 * answer's head is cut", "... is malformed", "the answer's body is cut" or
 * "the answer's trailer is too large". */
const char *response_head_describe (const struct response_head *head);

#endif
