/** Configurations as the operator sends them. */
final class Config {

  private Config() {}

  /** A route to {@code service}; {@code more} are further fields, each after a comma. */
  static String route(String name, String prefix, String kind, String service, String more) {
    return String.format(
        "{\"name\":\"%s\",\"host\":\"shop.example\",\"path-prefix\":\"%s\",\"kind\":\"%s\","
            + "\"target-latency-ms\":400,\"priority\":2,\"service\":\"%s\",\"public\":false,"
            + "\"sticky\":false%s}",
        name, prefix, kind, service, more);
  }

  /** A service without engines. */
  static String service(String name) {
    return String.format(
        "{\"name\":\"%s\",\"health-path\":\"/health\",\"max-conns\":390,\"protocol\":\"h1\","
            + "\"tls\":false,\"cold-s\":0.0,\"cold-per-s\":0.0}",
        name);
  }

  static String of(int version, String routes, String services) {
    return "{\"version\":"
        + version
        + ",\"routes\":["
        + routes
        + "],\"services\":["
        + services
        + "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
        + "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}";
  }
}
