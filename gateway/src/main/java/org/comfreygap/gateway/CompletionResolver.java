package org.comfreygap.gateway;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.inject.Inject;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.comfreygap.decisions.AdapterHomes;
import org.comfreygap.gateway.RequestContext.ResolvedRequest;
import org.comfreygap.gateway.ServiceResolver.PriorityHeader;
import org.comfreygap.protocol.generated.Route;
import org.comfreygap.settings.Documents.Adapter;
import org.comfreygap.settings.Documents.AdapterVersion;
import org.comfreygap.settings.Documents.Customer;
import org.comfreygap.settings.Documents.Key;
import org.comfreygap.settings.Priority;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Resolves chat and text completions to the adapter version, the tokens to reserve and the body for
 * the endpoint. In that body {@code model} is the immutable name of the adapter version and the
 * maximum output is always set.
 *
 * <p>Thread safety: immutable.
 */
final class CompletionResolver {

  private static final Logger LOG = LoggerFactory.getLogger(CompletionResolver.class);

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final ObjectReader READER =
      MAPPER.reader().with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
  private static final List<String> PROMPT_FIELDS =
      List.of("messages", "prompt", "suffix", "tools", "functions", "response_format");
  private static final List<String> MAX_OUTPUT_FIELDS =
      List.of("max_tokens", "max_completion_tokens");
  private static final List<String> COMPLETION_COUNT_FIELDS = List.of("n", "best_of");
  private static final int MAX_TOKENS = 1_000_000;
  private static final int MAX_COMPLETIONS = 128;
  // Role markers and separators that a chat template adds to each message.
  private static final int TOKENS_PER_OBJECT = 8;
  private static final int PREFIX_CHARS = 256;

  private final int defaultMaxTokens;
  private final int bytesPerToken;

  @Inject
  CompletionResolver(GatewaySettings settings) {
    this.defaultMaxTokens = settings.defaultMaxTokens();
    this.bytesPerToken = settings.bytesPerToken();
  }

  /**
   * Resolves a completion request.
   *
   * @throws RequestRefused when the body is malformed or names no adapter version that the customer
   *     may use
   */
  ResolvedRequest resolve(RequestContext context, byte[] body) throws RequestRefused {
    ObjectNode root = parse(body);
    Key key = context.key().orElseThrow();
    AdapterVersion version = resolveVersion(context, key.customer(), root.path("model"));
    String target = context.settings().adapter(version.adapter()).orElseThrow().baseModel();
    long output = resolveMaxOutputTokens(root);
    long reserved = promptTokens(root) + output * completionCount(root);
    root.put("model", version.immutableName());
    return new ResolvedRequest(
        target,
        Optional.of(version),
        "",
        "",
        Map.of("Content-Type", "application/json"),
        serialize(root),
        PriorityHeader.read(context.servletRequest(), defaultPriority(context, key.customer())),
        true,
        deterministic(root),
        root.path("stream").asBoolean(false),
        reserved,
        prefixHash(context.route(), key.customer(), root),
        Hashes.fingerprint(body, key.customer(), version.immutableName()));
  }

  private static ObjectNode parse(byte[] body) throws RequestRefused {
    try {
      if (READER.readTree(body) instanceof ObjectNode root) {
        return root;
      }
    } catch (IOException e) {
      // The parser's message quotes the body, which must not be logged.
      LOG.debug("cannot parse the request body as JSON: {}", e.getClass().getSimpleName());
    }
    throw invalidRequest("malformed body: expected a JSON object");
  }

  private static AdapterVersion resolveVersion(
      RequestContext context, String customer, JsonNode model) throws RequestRefused {
    String name = model.asText("");
    int at = name.lastIndexOf('@');
    if (!model.isTextual() || at <= 0 || at == name.length() - 1) {
      throw invalidRequest("model: expected adapter@version or team/adapter@version");
    }
    String team = customer.substring(0, customer.indexOf('/'));
    String adapterName = name.substring(0, at);
    String id = adapterName.indexOf('/') < 0 ? team + "/" + adapterName : adapterName;
    if (!id.startsWith(team + "/")) {
      throw RequestRefused.notRun(
          CallerError.FORBIDDEN, "model: the adapter belongs to another team");
    }
    Adapter adapter =
        context
            .settings()
            .adapter(id)
            .orElseThrow(
                () -> RequestRefused.notRun(CallerError.NOT_FOUND, "model: unknown adapter"));
    if (!adapter.permits(customer)) {
      throw RequestRefused.notRun(
          CallerError.FORBIDDEN, "model: the customer may not use the adapter");
    }
    return context
        .settings()
        .adapterVersion(id, name.substring(at + 1))
        .orElseThrow(
            () -> RequestRefused.notRun(CallerError.NOT_FOUND, "model: unknown adapter version"));
  }

  private long resolveMaxOutputTokens(ObjectNode root) throws RequestRefused {
    long output = 0;
    for (String field : MAX_OUTPUT_FIELDS) {
      output = Math.max(output, readInteger(root, field, 0, MAX_TOKENS));
    }
    if (output == 0) {
      output = defaultMaxTokens;
      root.put(MAX_OUTPUT_FIELDS.get(0), defaultMaxTokens);
    }
    return output;
  }

  private static long completionCount(ObjectNode root) throws RequestRefused {
    long count = 1;
    for (String field : COMPLETION_COUNT_FIELDS) {
      count = Math.max(count, readInteger(root, field, 1, MAX_COMPLETIONS));
    }
    return count;
  }

  private static long readInteger(ObjectNode root, String field, long defaultValue, long max)
      throws RequestRefused {
    JsonNode value = root.path(field);
    if (value.isMissingNode() || value.isNull()) {
      return defaultValue;
    }
    if (!value.isIntegralNumber() || value.asLong() < 1 || value.asLong() > max) {
      throw invalidRequest(field + ": expected a whole number from 1 to " + max);
    }
    return value.asLong();
  }

  private long promptTokens(ObjectNode root) {
    long bytes = 0;
    for (String field : PROMPT_FIELDS) {
      bytes += promptBytes(root.path(field));
    }
    return (bytes + bytesPerToken - 1) / bytesPerToken;
  }

  private long promptBytes(JsonNode node) {
    if (node.isTextual()) {
      return utf8Length(node.textValue());
    }
    if (node.isValueNode()) {
      return node.isNumber() ? bytesPerToken : 0;
    }
    long bytes = node.isObject() ? (long) TOKENS_PER_OBJECT * bytesPerToken : 0;
    for (JsonNode child : node) {
      bytes += promptBytes(child);
    }
    return bytes;
  }

  private static long utf8Length(String text) {
    long length = text.length();
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      // A surrogate pair takes four bytes, so each half counts as two.
      length += c < 0x80 ? 0 : c < 0x800 || Character.isSurrogate(c) ? 1 : 2;
    }
    return length;
  }

  private static boolean deterministic(ObjectNode root) {
    JsonNode temperature = root.path("temperature");
    return temperature.isNumber() && temperature.asDouble() == 0 || root.path("seed").isNumber();
  }

  private static long prefixHash(Route route, String customer, ObjectNode root) {
    JsonNode first =
        route == Route.CHAT_COMPLETIONS
            ? root.path("messages").path(0).path("content")
            : root.path("prompt");
    if (!first.isTextual()) {
      return 0;
    }
    String text = first.textValue();
    String beginning = text.substring(0, Math.min(PREFIX_CHARS, text.length()));
    // Includes the customer because prefix caches are separate for each customer.
    return AdapterHomes.hash(customer + "\n" + beginning);
  }

  private static Priority defaultPriority(RequestContext context, String customer) {
    return context
        .settings()
        .customer(customer)
        .map(Customer::defaultPriority)
        .orElse(Priority.NORMAL);
  }

  private static byte[] serialize(ObjectNode root) {
    try {
      return MAPPER.writeValueAsBytes(root);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("failed to serialize the request body", e);
    }
  }

  private static RequestRefused invalidRequest(String message) {
    return RequestRefused.notRun(CallerError.INVALID_REQUEST, message);
  }
}
