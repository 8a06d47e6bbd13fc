package org.comfreygap.cli;

/**
 * Escapes text for HTML pages.
 *
 * <p>Thread safety: stateless.
 *
 * @since 0.3
 */
public final class HtmlEscaper {

  private HtmlEscaper() {}

  /** Escapes {@code text} for use in an element or a double-quoted attribute value. */
  public static String escape(String text) {
    return text.replace("&", "&amp;")
        .replace("<", "&lt;")
        .replace(">", "&gt;")
        .replace("\"", "&quot;");
  }
}
