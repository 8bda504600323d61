/** @file
 * HTTP requests of tests, sent with libcurl.
 */
#ifndef TESTS_HARNESS_HTTP_H
#define TESTS_HARNESS_HTTP_H

#include <map>
#include <string>
#include <vector>

struct json_object;

struct HttpRequest
{
  std::string method = "GET";
  std::string url;
  std::vector<std::string> headers;
  std::string body;
  long timeout_ms = 60000;
};

struct HttpResponse
{
  bool complete = false; /**< the response was received completely */
  long status = 0;
  std::map<std::string, std::string> headers; /**< names in lower case */
  std::string body;
  std::string error;

  std::string header (const std::string &name) const;
};

HttpResponse http (const HttpRequest &request);
HttpResponse http_get (const std::string &url);

/** The value at the dotted path AT of a JSON text ("rows.0.name"), as text; ""
 * if there is none. */
std::string json_at (const std::string &text, const std::string &at);

/** The number of elements of the array at the dotted path AT; 0 if there is
 * none. */
size_t json_length (const std::string &text, const std::string &at);

#endif
