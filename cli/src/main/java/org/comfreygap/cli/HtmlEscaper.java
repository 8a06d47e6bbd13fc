package org.comfreygap.cli;

/**
 * Text for HTML pages.
 *
 * <p>Thread safety: stateless.
 *
 * @since 0.3
 */
public final class HtmlEscaper {

  private HtmlEscaper() {}

  /** Returns {@code text} so that it stands for itself in an element or an attribute. */
  public static String escape(String text) {
    return text.replace("&", "&amp;")
        .replace("<", "&lt;")
        .replace(">", "&gt;")
        .replace("\"", "&quot;");
  }
}
