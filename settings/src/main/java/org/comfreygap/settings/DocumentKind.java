package org.comfreygap.settings;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * The kinds of settings documents, with their path patterns and schemas. A {@code *} in a pattern
 * matches one name.
 *
 * <p>Invariant: a path matches at most one kind. Thread safety: immutable.
 *
 * @since 0.1
 */
public enum DocumentKind {
  TEAM("/teams/*", ObjectSchema.builder().optional("displayName", FieldRule.text(200)).build()),
  CUSTOMER(
      "/teams/*/customers/*",
      ObjectSchema.builder()
          .optional("defaultPriority", FieldRule.oneOf(Priority.values()))
          .optional("rank", FieldRule.integer(0, DocumentKind.LOWEST_RANK))
          .optional("countedIn", FieldRule.oneOf(Documents.CountingUnit.values()))
          .optional("tokensWithoutCount", FieldRule.integer(0, 1_000_000_000L))
          .build()),
  LIMITS(
      "/teams/*/customers/*/limits",
      ObjectSchema.builder()
          .required("tokensPerSecond", FieldRule.integer(1, 1_000_000_000L))
          .required("burstTokens", FieldRule.integer(1, 10_000_000_000L))
          .build()),
  KEY(
      "/teams/*/customers/*/keys/*",
      ObjectSchema.builder()
          .required(
              "sha256",
              FieldRule.text(
                  "64 lower-case hexadecimal digits", value -> value.matches("[0-9a-f]{64}")))
          .required("state", FieldRule.oneOf(Documents.KeyState.values()))
          .build()),
  ADAPTER(
      "/teams/*/adapters/*",
      ObjectSchema.builder()
          .required("baseModel", FieldRule.text(200))
          .required("customers", FieldRule.listOf(customerName(), 1_000))
          .build()),
  ADAPTER_VERSION(
      "/teams/*/adapters/*/versions/*",
      ObjectSchema.builder().required("source", FieldRule.text(1_000)).build()),
  SERVICE(
      "/teams/*/services/*",
      ObjectSchema.builder()
          .optional("open", FieldRule.bool())
          .optional("customers", FieldRule.listOf(customerName(), 1_000))
          .optional("idempotentMethods", FieldRule.listOf(httpMethod(), 10))
          .optional("defaultPriority", FieldRule.oneOf(Priority.values()))
          .build()),
  ZONE(
      "/platform/zones/*",
      ObjectSchema.builder()
          .required("state", FieldRule.oneOf(Documents.ZoneState.values()))
          .build()),
  ENDPOINT(
      "/platform/endpoints/*",
      ObjectSchema.builder()
          .required("zone", FieldRule.name())
          .required("kind", FieldRule.oneOf(Documents.EndpointKind.values()))
          .optional("baseModel", FieldRule.text(200))
          .optional("service", FieldRule.qualifiedName())
          .required("sidecar", FieldRule.ipPort())
          .optional("slots", FieldRule.integer(0, 10_000))
          .required("maxBatch", FieldRule.integer(1, 10_000))
          .optional("checksFencing", FieldRule.bool())
          .optional("state", FieldRule.oneOf(Documents.EndpointState.values()))
          .required(
              "coldStart",
              FieldRule.object(
                  ObjectSchema.builder()
                      .required("initialConcurrency", FieldRule.integer(1, 10_000))
                      .required("rampSeconds", FieldRule.number(0, 86_400))
                      .build()))
          .build()),
  STORE(
      "/platform/store",
      ObjectSchema.builder()
          .required("loadsPerSecond", FieldRule.number(0.01, 1_000_000))
          .required("fullSpeedLoads", FieldRule.integer(1, 100_000))
          .required("maxInFlight", FieldRule.integer(1, 100_000))
          .build()),
  ROUTE(
      "/routing/routes/*",
      ObjectSchema.builder()
          .required("host", FieldRule.text(255))
          .required(
              "pathPrefix",
              FieldRule.text(
                  "a path that begins and ends with a slash",
                  value -> value.startsWith("/") && value.endsWith("/") && value.length() <= 2_000))
          .required("kind", FieldRule.oneOf(RequestKind.values()))
          .required("timeoutMillis", FieldRule.integer(1, 86_400_000))
          .optional("targetLatencyMillis", FieldRule.integer(0, 86_400_000))
          .optional("maxGapMillis", FieldRule.integer(0, 86_400_000))
          .optional("rank", FieldRule.integer(0, DocumentKind.LOWEST_RANK))
          .required("targets", FieldRule.listOf(FieldRule.object(routeTarget()), 100))
          .optional("maxAttempts", FieldRule.integer(1, 100))
          .optional("open", FieldRule.bool())
          .optional("sticky", FieldRule.bool())
          .optional("resumable", FieldRule.bool())
          .build()),
  POOL(
      "/routing/pools/*",
      ObjectSchema.builder()
          .required("healthPath", FieldRule.text(2_000))
          .required("maxConnections", FieldRule.integer(1, 1_000_000))
          .optional("coldSeconds", FieldRule.number(0, 86_400))
          .optional("coldRequestsPerSecond", FieldRule.number(0, 1_000_000))
          .optional("engine", FieldRule.object(engine()))
          .build()),
  REQUEST_LIMITS(
      "/routing/limits",
      ObjectSchema.builder()
          .required("maxHeaderBytes", FieldRule.integer(256, 16_777_216))
          .required("maxBodyBytes", FieldRule.integer(0, 1_073_741_824))
          .required("headerTimeoutMillis", FieldRule.integer(1, 86_400_000))
          .required("idleTimeoutMillis", FieldRule.integer(1, 86_400_000))
          .build()),
  PUBLICATION(
      "/routing/publication",
      ObjectSchema.builder().required("version", FieldRule.integer(0, Long.MAX_VALUE)).build()),
  /** A document of its own: earlier releases skip paths that they do not know, but no fields. */
  KEY_POLICY(
      "/routing/key-policy", ObjectSchema.builder().required("required", FieldRule.bool()).build()),
  ANNOUNCED_VERSION(
      "/routing/versions/*",
      ObjectSchema.builder()
          .required("model", FieldRule.text(200))
          .required("adapter", FieldRule.text(200))
          .required("version", FieldRule.integer(0, Long.MAX_VALUE))
          .build()),
  ANNOUNCED_WEIGHTS(
      "/routing/weights/*",
      ObjectSchema.builder()
          .required("model", FieldRule.text(200))
          .required("version", FieldRule.integer(0, Long.MAX_VALUE))
          .build()),
  /** A document of its own, for the same reason as {@link #KEY_POLICY}. */
  SCALING(
      "/routing/scaling/*",
      ObjectSchema.builder()
          .required("min", FieldRule.integer(0, DocumentKind.MAX_ENDPOINTS))
          .required("max", FieldRule.integer(1, DocumentKind.MAX_ENDPOINTS))
          .optional("bootSeconds", FieldRule.number(0, 86_400))
          .build());

  /** Rank of the least urgent requests; the most urgent ones have rank 0. */
  public static final int LOWEST_RANK = 9;

  /** Most endpoints of a pool in one availability zone that may be ordered. */
  public static final int MAX_ENDPOINTS = 10_000;

  private final List<String> pattern;
  private final ObjectSchema schema;

  DocumentKind(String pattern, ObjectSchema schema) {
    this.pattern = SettingsPath.split(pattern);
    this.schema = schema;
  }

  /** Returns the kind of the document at {@code path}, or empty when the path has no valid kind. */
  public static Optional<DocumentKind> of(SettingsPath path) {
    return Arrays.stream(values()).filter(kind -> kind.matches(path.segments())).findFirst();
  }

  /** Returns the schema of documents of this kind. */
  public ObjectSchema schema() {
    return schema;
  }

  private boolean matches(List<String> segments) {
    if (segments.size() != pattern.size()) {
      return false;
    }
    for (int i = 0; i < segments.size(); i++) {
      String expected = pattern.get(i);
      if (!expected.equals("*") && !expected.equals(segments.get(i))) {
        return false;
      }
    }
    return true;
  }

  private static ObjectSchema routeTarget() {
    return ObjectSchema.builder()
        .required("pool", FieldRule.name())
        .required("weight", FieldRule.number(0, 1_000_000_000))
        .build();
  }

  private static ObjectSchema engine() {
    ObjectSchema model =
        ObjectSchema.builder()
            .required("name", FieldRule.text(200))
            .required("weightsMegabytes", FieldRule.number(0, 1e9))
            .optional("adapters", FieldRule.integer(0, 100_000_000))
            .build();
    return ObjectSchema.builder()
        .required("slots", FieldRule.integer(1, 100_000))
        .required("kvTokens", FieldRule.integer(1, 1_000_000_000_000L))
        .optional("adapterSlots", FieldRule.integer(0, 100_000))
        .optional("weightsMegabytes", FieldRule.number(0, 1e9))
        .optional("loadsPerSecond", FieldRule.number(0, 1_000_000))
        .required("models", FieldRule.listOf(FieldRule.object(model), 1_000))
        .build();
  }

  private static FieldRule customerName() {
    return FieldRule.text(
        "a customer name or *",
        value -> value.equals("*") || FieldRule.NAME.matcher(value).matches());
  }

  private static FieldRule httpMethod() {
    return FieldRule.text("an HTTP method in upper case", value -> value.matches("[A-Z]{3,10}"));
  }
}
