#pragma once

#include "cornelwind/reducer.h"
#include "http_server.h"

#include <functional>
#include <string>

namespace cornelwind {

/// Serves operators: status, explanations, metrics and the order to drain.
class AdminSide final : public HttpHandler {
public:
    struct Parts {
        std::function<Status()> status;
        std::function<std::vector<Decision>(const std::string& subject)> explain;
        std::function<std::string()> metrics;
        std::function<void()> drain;
        std::function<Time()> now;
    };

    explicit AdminSide(Parts parts);

    void onHead(const HttpExchangePtr& exchange) override;
    void onBody(const HttpExchangePtr& exchange, std::string body) override;
    void onReceiveFailed(const HttpExchangePtr& exchange, ErrorKind error) override;
    void onGone(const HttpExchangePtr& exchange) override;
    Answer refusal(ErrorKind error) override;

private:
    Answer serve(const HttpHead& head);
    Answer serveStatus(const std::string& argument);
    Answer serveExplain(const std::string& argument);
    Answer serveMetrics(const std::string& argument);
    Answer serveReady(const std::string& argument);
    Answer serveDrain(const std::string& argument);

    Parts m_parts;
};

} // namespace cornelwind
