/// HTTP server of the admin API: authenticates operators, dispatches requests
/// to endpoints and formats responses.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/ControlSettings.h>
#include <Peridothoist/Core/Reason.h>
#include <Peridothoist/Shell/HttpServer.h>

#include <nlohmann/json.hpp>

namespace peridothoist {

/// One request of the admin API.
class AdminRequest
{
public:
  AdminRequest(std::shared_ptr<HttpExchange> aExchange,
               std::string aOperatorName,
               std::string aSubPath,
               nlohmann::json aBody)
    : mExchange(std::move(aExchange))
    , mOperator(std::move(aOperatorName))
    , mSubPath(std::move(aSubPath))
    , mBody(std::move(aBody))
  {
  }

  /// Name of the authenticated operator; empty on public endpoints.
  const std::string& OperatorName() const { return mOperator; }
  /// Path below the path of the endpoint, without a leading '/'.
  const std::string& SubPath() const { return mSubPath; }
  /// JSON body; an empty object if the request has no body.
  const nlohmann::json& Body() const { return mBody; }

  /// Returns a string field of the body, or an empty string if it is absent.
  std::string TextField(const char* aField) const;
  /// Returns a boolean field of the body, or false if it is absent.
  bool BoolField(const char* aField) const;

  void Respond(int aStatus, const nlohmann::json& aBody) const;
  void RespondText(const char* aContentType, std::string aText) const;

  /// Responds with an error and the HTTP status of its code. The response
  /// object also contains aExtraFields.
  void RespondError(const Reason& aReason,
                    nlohmann::json aExtraFields = {}) const;

private:
  std::shared_ptr<HttpExchange> mExchange;
  std::string mOperator;
  std::string mSubPath;
  nlohmann::json mBody;
};

/// Dispatches requests to the endpoints that were added.
class AdminServer : public HttpRequestHandler
{
public:
  using Handler = std::function<void(const AdminRequest&)>;

  explicit AdminServer(const std::vector<OperatorKey>& aOperators);

  /// Adds an endpoint for a path and all paths below it.
  void AddEndpoint(const char* aMethod, const char* aPath, Handler aHandler);

  /// Adds an endpoint that needs no operator key.
  void AddPublicEndpoint(const char* aMethod,
                         const char* aPath,
                         Handler aHandler);

  // See: HttpRequestHandler
  void OnRequest(std::shared_ptr<HttpExchange> aExchange) override;

private:
  struct Endpoint
  {
    std::string mMethod;
    std::string mPath;
    bool mIsPublic; ///< Needs no operator key.
    Handler mHandler;
  };

  /// Returns null if no endpoint matches path and method. aPathExists is set if
  /// the path matches an endpoint with any method.
  const Endpoint* FindEndpoint(const HttpRequest& aRequest,
                               bool* aPathExists) const;
  /// Returns the operator whose key the request carries, if any.
  std::optional<std::string> FindOperator(const HttpRequest& aRequest) const;

  std::vector<OperatorKey> mOperators;
  std::vector<Endpoint> mEndpoints;
};

} // namespace peridothoist
