#pragma once

#include "cornelwind/reducer.h"
#include "http_server.h"

#include <functional>
#include <string>

namespace cornelwind {

/// HTTP handler of the admin listener: status, explanations of decisions, metrics, readiness and drain.
class AdminHandler final : public HttpHandler {
public:
    /// Functions of the entry instance that the handler calls.
    struct Operations {
        std::function<Status()> status;
        /// Returns the latest decisions about a backend server, service or entry instance; about all if `subject` is empty.
        std::function<std::vector<Decision>(const std::string& subject)> explain;
        /// Returns the metrics in the Prometheus text format.
        std::function<std::string()> metrics;
        /// Starts a planned stop.
        std::function<void()> drain;
        std::function<Time()> now;
    };

    /// @param operations all functions must be set
    explicit AdminHandler(Operations operations);

    void onHead(const HttpExchangePtr& exchange) override;
    void onBody(const HttpExchangePtr& exchange, SharedBody body) override;
    void onReceiveFailed(const HttpExchangePtr& exchange, ErrorKind error) override;
    void onDisconnect(const HttpExchangePtr& exchange) override;
    Response errorResponse(ErrorKind error) override;

private:
    Response serve(const HttpHead& head);
    Response serveStatus(const std::string& subject);
    Response serveExplain(const std::string& subject);
    Response serveMetrics(const std::string& subject);
    Response serveReady(const std::string& subject);
    Response serveDrain(const std::string& subject);

    Operations m_operations;
};

} // namespace cornelwind
