#include "admission/request_queue.h"
#include "cornelwind/admission.h"

namespace cornelwind {
namespace {

    /// Order by priority and then by arrival.
    class ArrivalQueue : public RequestQueue {
    public:
        void countArrival(std::uint32_t) override { }
        void countStart(std::uint32_t) override { }

        QueueAdmission enter(const QueuedRequest& request, const QueueLoad& load) override
        {
            const auto admission = m_queue.enter({ request.request, request.expires }, request.priority, load.limit);
            return { admission.admitted ? QueueVerdict::Waits : QueueVerdict::Full, admission.displaced, {} };
        }

        std::optional<RequestId> next(Time) const override { return m_queue.front(); }

        bool start(Time) override
        {
            m_queue.popFront();
            return false;
        }

        // Retries and hedges of such a service do not wait.
        bool outranks(const QueuedRequest&, Time) const override { return false; }
        void remove(RequestId request) override { m_queue.remove(request); }
        std::vector<RequestId> expire(Time now) override { return m_queue.expire(now); }
        std::size_t size() const override { return m_queue.size(); }
        bool ordersByValue() const override { return false; }

    private:
        AdmissionQueue m_queue;
    };

} // namespace

std::unique_ptr<RequestQueue> makeArrivalQueue()
{
    return std::make_unique<ArrivalQueue>();
}

} // namespace cornelwind
