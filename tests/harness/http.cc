#include "tests/harness/http.h"

#include <algorithm>
#include <cctype>
#include <sstream>

#include <curl/curl.h>
#include <json-c/json.h>

namespace
{

size_t
append_body (char *data, size_t size, size_t count, void *owner)
{
  static_cast<std::string *> (owner)->append (data, size * count);
  return size * count;
}

/* libcurl doesn't tell a response whose head is cut from a whole one. */
struct ResponseHead
{
  std::map<std::string, std::string> headers;
  bool is_whole = false;
};

size_t
add_header (char *data, size_t size, size_t count, void *owner)
{
  auto *head = static_cast<ResponseHead *> (owner);
  std::map<std::string, std::string> *headers = &head->headers;
  const std::string line (data, size * count);
  if (line.compare (0, 5, "HTTP/") == 0)
    head->is_whole = false;
  if (line == "\r\n" || line == "\n")
    head->is_whole = true;
  const size_t colon = line.find (':');
  if (colon == std::string::npos)
    return size * count;
  std::string name = line.substr (0, colon);
  std::transform (name.begin (), name.end (), name.begin (), tolower);
  const size_t first = line.find_first_not_of (" ", colon + 1);
  const size_t last = line.find_last_not_of (" \r\n");
  (*headers)[name] = first == std::string::npos || first > last
                         ? ""
                         : line.substr (first, last - first + 1);
  return size * count;
}

json_object *
find_node (json_object *node, const std::string &at)
{
  std::stringstream parts (at);
  for (std::string part; node != nullptr && getline (parts, part, '.');)
    {
      if (json_object_is_type (node, json_type_array))
        node = json_object_array_get_idx (node, std::stoul (part));
      else
        node = json_object_object_get (node, part.c_str ());
    }
  return node;
}

} // namespace

std::string
HttpResponse::header (const std::string &name) const
{
  const auto found = headers.find (name);
  return found == headers.end () ? "" : found->second;
}

HttpResponse
http (const HttpRequest &request)
{
  HttpResponse response;
  ResponseHead head;
  CURL *easy = curl_easy_init ();
  curl_slist *headers = curl_slist_append (nullptr, "Expect:");
  for (const std::string &header : request.headers)
    headers = curl_slist_append (headers, header.c_str ());
  curl_easy_setopt (easy, CURLOPT_URL, request.url.c_str ());
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, request.method.c_str ());
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, request.timeout_ms);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, &response.body);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, add_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, &head);
  if (!request.body.empty () || request.method == "POST")
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE,
                        static_cast<long> (request.body.size ()));
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS, request.body.data ());
    }
  const CURLcode code = curl_easy_perform (easy);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &response.status);
  response.headers = head.headers;
  response.complete
      = code == CURLE_OK && head.is_whole && response.status >= 200;
  response.error = code == CURLE_OK && !response.complete
                       ? "the response's head is cut"
                       : curl_easy_strerror (code);
  curl_slist_free_all (headers);
  curl_easy_cleanup (easy);
  return response;
}

HttpResponse
http_get (const std::string &url)
{
  HttpRequest request;
  request.url = url;
  return http (request);
}

std::string
json_at (const std::string &text, const std::string &at)
{
  json_object *tree = json_tokener_parse (text.c_str ());
  json_object *node = find_node (tree, at);
  const std::string value
      = node == nullptr ? "" : json_object_get_string (node);
  json_object_put (tree);
  return value;
}

size_t
json_length (const std::string &text, const std::string &at)
{
  json_object *tree = json_tokener_parse (text.c_str ());
  json_object *node = find_node (tree, at);
  const size_t length = json_object_is_type (node, json_type_array)
                            ? json_object_array_length (node)
                            : 0;
  json_object_put (tree);
  return length;
}
