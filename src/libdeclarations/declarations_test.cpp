#include "burdockpulley/declarations.h"
#include "burdockpulley/hashing.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>

using namespace burdockpulley;
namespace leaf = boost::leaf;

namespace {

std::vector<DeclarationFault> faultsOf(const std::string &Text) {
  DeclarationSource Source{"set.yaml", Text};
  std::vector<DeclarationFault> Faults;
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_CHECK(readDeclarations(std::span(&Source, 1)));
        return {};
      },
      [&](const DeclarationFaults &Found) { Faults = Found.m_faults; }, [] {});
  return Faults;
}

std::string goodSet() {
  return "kind: Tenant\nname: censo\ntokenSha256: " + sha256Hex("t") +
         "\n---\nkind: FailureDomain\nname: talca\nregion: cl\nhosts:\n"
         "  - {name: talca-1, peerAddress: 127.0.0.1:7001}\n"
         "---\nkind: Service\nname: herd\ntenant: censo\nkey: path:1\n"
         "---\nkind: Upstream\nname: herd-1\nservice: herd\n"
         "failureDomain: talca\naddress: 127.0.0.1:9001\n"
         "---\nkind: Route\nname: herds\ntenant: censo\n"
         "pathPrefix: /herds\nservice: herd\n";
}

} // namespace

BOOST_AUTO_TEST_CASE(a_good_set_survives_its_canonical_form) {
  BOOST_TEST(faultsOf(goodSet()).empty());
  DeclarationSource Source{"set.yaml", goodSet()};
  auto Set = readDeclarations(std::span(&Source, 1));
  std::string Text = encodeDeclarations(Set.value());
  auto Again = decodeDeclarations(Text);
  BOOST_TEST(encodeDeclarations(Again.value()) == Text);
  BOOST_TEST(Again.value().m_services[0].m_partitions == 256u);
}

BOOST_AUTO_TEST_CASE(every_fault_is_reported_at_once_with_its_line) {
  auto Faults =
      faultsOf(goodSet() + "---\nkind: Upstream\nname: herd-1\nservice: herds\n"
                           "failureDomain: talca\naddress: localhost:1\n"
                           "slots: 0\ncolour: red\n"
                           "---\nkind: Maintenance\nname: out\n"
                           "failureDomain: talca\n");
  std::string All;
  for (const DeclarationFault &Fault : Faults)
    All += toString(Fault) + "\n";
  BOOST_TEST_CONTEXT(All) {
    for (const char *Part :
         {"set.yaml:28: Upstream/herd-1.name: is declared twice",
          "refers to Service/herds", "localhost:1; write IP-ADDRESS:PORT",
          "slots: is 0; write a whole number from 1", "colour: is not a field",
          "last failure domain", "has no upstream in service"})
      BOOST_TEST((All.find(Part) != std::string::npos), Part);
  }
}
