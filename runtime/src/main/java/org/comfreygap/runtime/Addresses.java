package org.comfreygap.runtime;

import java.net.InetSocketAddress;

/**
 * Converts between {@code ip:port} texts and socket addresses.
 *
 * <p>Thread safety: stateless.
 *
 * @since 0.1
 */
public final class Addresses {

  private Addresses() {}

  /**
   * Returns the address written as {@code ip:port} or {@code [ipv6]:port}.
   *
   * @throws IllegalArgumentException when the text has no port
   */
  public static InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 0) {
      throw new IllegalArgumentException("given " + text + ", expected ip:port");
    }
    String host = text.substring(0, colon).replace("[", "").replace("]", "");
    return new InetSocketAddress(host, Integer.parseInt(text.substring(colon + 1)));
  }

  /** Returns {@code host:port}, with brackets around an IPv6 address. */
  public static String text(InetSocketAddress address) {
    String host = address.getHostString();
    return (host.contains(":") ? "[" + host + "]" : host) + ":" + address.getPort();
  }
}
