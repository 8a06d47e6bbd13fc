package org.comfreygap.runtime;

import org.comfreygap.decisions.CustomerCredit;
import org.comfreygap.protocol.generated.CreditItem;
import org.comfreygap.protocol.generated.Priority;

/**
 * Converts a gateway's credit usage and demand for one customer to a Thrift message.
 *
 * <p>Thread safety: stateless.
 *
 * @since 0.2
 */
public final class CreditItems {

  private CreditItems() {}

  /** Returns the message for {@code item}. */
  public static CreditItem toMessage(String customer, CustomerCredit.Item item) {
    CreditItem message =
        new CreditItem(
            customer,
            item.used(),
            item.returned(),
            item.refunded(),
            item.requested(),
            Priority.valueOf(item.priority().name()));
    message.setLeast(item.minUseful());
    return message;
  }
}
