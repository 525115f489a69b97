#pragma once

#include <rosemarymill/core/base/id.hpp>
#include <rosemarymill/core/base/time.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// The manifest: the desired state that operators submit. The wire package parses it from JSON and validates it.
namespace rosemarymill::configuration {

/// Adapter that can be loaded in addition to a model.
struct AdapterSpec {
    std::string name;
    std::string version;

    friend bool operator==(const AdapterSpec&, const AdapterSpec&) = default;
};

/// Range of the number of replicas of a model in a data centre. Within it the number follows the demand.
struct ReplicaRange {
    std::uint32_t minimum { 0 };
    std::uint32_t maximum { 0 };

    friend bool operator==(const ReplicaRange&, const ReplicaRange&) = default;
};

/// A model in one version.
struct ModelSpec {
    ModelName name;
    std::string version;
    /// VMs that one replica spans; all lie in one fabric domain.
    std::uint32_t vmsPerReplica { 1 };
    /// Size of the weights per VM in bytes.
    std::uint64_t weightBytes { 0 };
    std::vector<AdapterSpec> adapters;
    std::map<DataCentreId, ReplicaRange> replicas;

    friend bool operator==(const ModelSpec&, const ModelSpec&) = default;
};

/// Kind of request with its worth to the caller and its usual deadline.
struct RequestKind {
    std::string name;
    double worth { 1.0 };
    /// Time from arrival within which the answer must have started; zero means none.
    Duration deadline { 0 };

    friend bool operator==(const RequestKind&, const RequestKind&) = default;
};

/// Client account with its share and its tokens.
struct ClientAccount {
    AccountId id;
    double weight { 1.0 };
    /// SHA-256 digests of the account's bearer tokens, lower-case hexadecimal.
    std::vector<std::string> tokenDigests;
    std::vector<RequestKind> kinds;

    friend bool operator==(const ClientAccount&, const ClientAccount&) = default;
};

/// Route of a plain service: an HTTP method and a path prefix.
struct Route {
    std::string method;
    std::string pathPrefix;
    bool idempotent { false };

    friend bool operator==(const Route&, const Route&) = default;
};

/// Plain service that the system routes to.
struct ServiceSpec {
    ServiceName name;
    std::vector<Route> routes;
    /// Largest number of requests in flight at one server of the service.
    std::uint32_t maxRequests { 16 };

    friend bool operator==(const ServiceSpec&, const ServiceSpec&) = default;
};

/// Complete desired state for one deployment.
struct Manifest {
    std::vector<DataCentreId> dataCentres;
    std::vector<ModelSpec> models;
    std::vector<ClientAccount> accounts;
    std::vector<ServiceSpec> services;
    /// Data centres that hold a ledger of non-idempotent calls.
    std::vector<DataCentreId> ledgerHomes;
    /// Rate limit of the weight store in bytes per second, per data centre.
    std::uint64_t weightStoreBytesPerSecond { 0 };

    friend bool operator==(const Manifest&, const Manifest&) = default;
};

} // namespace rosemarymill::configuration
