package org.comfreygap.settings;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against routing tables that are ambiguous, invalid or refer to missing pools. */
class RoutingRulesTest {

  private static final String POOL = "/routing/pools/app";
  private static final String POOL_DOCUMENT = "{\"healthPath\":\"/health\",\"maxConnections\":5}";

  @Test
  void acceptsRouteToExistingPool() {
    assertThat(check(Map.of(POOL, POOL_DOCUMENT, "/routing/routes/a", route("/a/", "app", 1))))
        .isEmpty();
  }

  @Test
  void refusesRouteToUnknownPool() {
    assertThat(check(Map.of("/routing/routes/a", route("/a/", "app", 1)))).hasSize(1);
  }

  @Test
  void refusesWeightsOfZero() {
    assertThat(check(Map.of(POOL, POOL_DOCUMENT, "/routing/routes/a", route("/a/", "app", 0))))
        .hasSize(1);
  }

  @Test
  void refusesTwoRoutesWithTheSameHostAndPrefix() {
    assertThat(
            check(
                Map.of(
                    POOL,
                    POOL_DOCUMENT,
                    "/routing/routes/a",
                    route("/a/", "app", 1),
                    "/routing/routes/b",
                    route("/a/", "app", 1))))
        .hasSize(1);
  }

  @ParameterizedTest
  @CsvSource({"timeoutMillis, 0", "kind, \"sometimes\"", "pathPrefix, \"/a\"", "host, \"\""})
  void refusesValuesOutOfBounds(String field, String value) throws JsonProcessingException {
    ObjectMapper mapper = new ObjectMapper();
    var document = (ObjectNode) mapper.readTree(route("/a/", "app", 1));
    JsonNode wrong = mapper.readTree(value);
    document.set(field, wrong);

    assertThat(TreeRules.checkDocument("/routing/routes/a", document)).isNotEmpty();
  }

  @Test
  void acceptsBoundsOnTheNumberOfEndpointsOfAnExistingPool() {
    String scaling = "{\"min\":2,\"max\":6,\"bootSeconds\":20}";

    assertThat(check(Map.of(POOL, POOL_DOCUMENT, "/routing/scaling/app", scaling))).isEmpty();
    assertThat(check(Map.of("/routing/scaling/app", scaling)))
        .singleElement()
        .satisfies(fault -> assertThat(fault.message()).contains("an existing pool"));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "{'min':7,'max':6} | given 7",
        "{'min':-1,'max':6} | given -1",
        "{'min':'two','max':6} | given \"two\"",
        "{'min':2,'max':0} | given 0",
        "{'min':2,'max':2.5} | given 2.5",
        "{'max':6} | given nothing",
        "{'min':2,'max':6,'bootSeconds':-1} | given -1",
        "{'min':2,'max':6,'bootSeconds':'soon'} | given \"soon\""
      })
  void refusesBoundsThatNoNumberSatisfies(String document, String expected)
      throws JsonProcessingException {
    JsonNode scaling = new ObjectMapper().readTree(document.replace('\'', '"'));

    assertThat(TreeRules.checkDocument("/routing/scaling/app", scaling))
        .singleElement()
        .satisfies(fault -> assertThat(fault.message()).contains(expected));
  }

  private static String route(String prefix, String pool, int weight) {
    return "{\"host\":\"shop.example\",\"pathPrefix\":\""
        + prefix
        + "\",\"kind\":\"safe\",\"timeoutMillis\":1000,\"targets\":[{\"pool\":\""
        + pool
        + "\",\"weight\":"
        + weight
        + "}]}";
  }

  private static List<Fault> check(Map<String, String> documents) {
    Map<String, Optional<String>> changes = new LinkedHashMap<>();
    documents.forEach((path, text) -> changes.put(path, Optional.of(text)));
    return TreeRules.check(TreeRules.emptyTree(), changes);
  }
}
