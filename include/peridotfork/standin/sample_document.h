#ifndef PERIDOTFORK_STANDIN_SAMPLE_DOCUMENT_H_
#define PERIDOTFORK_STANDIN_SAMPLE_DOCUMENT_H_

#include <cstdint>
#include <string>

namespace peridotfork::standin {

// Returns a document with the services, targets, data centres and callers of one
// deployment ("association" or "rounds"), or of both if the name is empty. The
// targets listen on 127.0.0.1, on consecutive ports from `base_port` on.
std::string MakeSampleDocument(std::uint16_t base_port, const std::string& deployment);

}  // namespace peridotfork::standin

#endif  // PERIDOTFORK_STANDIN_SAMPLE_DOCUMENT_H_
