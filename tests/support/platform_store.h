#pragma once

#include "fleet.h"

#include <string>
#include <vector>

namespace cornelwind::test {

/// Publishes servers and routes through the stand-in of the platform, in the manner of the users' store.
///
/// Two routes lead to the service `service`: `/safe/` for requests that may be repeated, `/unsafe/` for those that must not.
class PlatformStore {
public:
    explicit PlatformStore(Fleet& fleet)
        : m_fleet(fleet)
    {
    }

    /// Adds an entry for a backend server of the fleet, in state `ready`.
    void add(const std::string& server, const std::string& service, int slots);
    /// Adds an item that `publish` writes beside the entries.
    void addItem(const std::string& item) { m_items += (m_items.empty() ? "" : ",") + item; }
    /// Writes configuration and entries to the store. Instances that start from now on read them.
    ///
    /// @param configuration routes and services as JSON; empty for those of `configuration`
    void publish(const std::string& configuration = {});

    /// An item under a key of any bytes.
    struct KeyedItem {
        std::string key;
        std::string value;
    };
    /// Writes the configuration, and a list of items that the store returns in pages, sorted by key.
    ///
    /// @param pageItems number of items on a page
    void publishPages(const std::vector<KeyedItem>& items, int pageItems);
    /// Makes the store forget its history up to the latest revision, so that watches have to read all values again.
    void forgetHistory();

    /// Reports changes to the watches of the store, all in one response. Reports those of earlier calls no more.
    ///
    /// @param items texts in JSON, made by `item` or odd ones
    void change(const std::vector<std::string>& items);

    /// @return an entry of a backend server as JSON, in state `ready`
    ///
    /// @param address `host:port`
    static std::string entryAt(const std::string& address, const std::string& service, int slots);
    /// @return the same for a backend server of the fleet
    std::string entry(const std::string& server, const std::string& service, int slots) const;
    /// @return a configuration with the two routes as JSON
    ///
    /// @param extraRoute further route as a JSON member, or empty
    static std::string configuration(int version, const std::string& extraRoute = {});
    /// @return an item of the store whose revision is that of the next `change`
    std::string item(const std::string& key, const std::string& value) const;
    /// @return a text of any bytes as the inside of a JSON string
    static std::string escapeJson(const std::string& text);
    /// @return the standard base64 text, with padding
    static std::string encodeBase64(const std::string& bytes);
    /// @return the revision of the next `change`
    int nextRevision() const { return m_revision + 1; }

    /// @return settings that make an entry instance use the store, for `Fleet::addInstance`
    static std::string settings();

private:
    Fleet& m_fleet;
    std::string m_items;
    int m_revision = 0;
};

} // namespace cornelwind::test
