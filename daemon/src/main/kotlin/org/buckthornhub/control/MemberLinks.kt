package org.buckthornhub.control

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CoroutineScope
import org.buckthornhub.fleet.VmId
import org.buckthornhub.http.HttpLink
import org.buckthornhub.peer.PeerAuthenticator
import org.buckthornhub.replication.PeerMessage
import org.buckthornhub.task.Mailbox

/** Links to control VMs, opened on first use. Confined to [ControlTask]. */
internal class MemberLinks(
    private val self: VmId,
    private val addressOf: (VmId) -> String,
    private val links: HttpLink.Factory,
    private val authority: PeerAuthenticator,
    private val onReply: (PeerMessage) -> Unit,
) : (VmId) -> Mailbox<PeerMessage>? {
    private var tasks: PersistentMap<VmId, MemberLinkTask> = persistentMapOf()
    private lateinit var scope: CoroutineScope

    fun start(scope: CoroutineScope) {
        this.scope = scope
    }

    override fun invoke(vm: VmId): Mailbox<PeerMessage>? {
        if (vm == self) return null
        tasks[vm]?.let { return it }
        val task = MemberLinkTask(addressOf(vm), links, authority, onReply)
        task.start(scope)
        tasks = tasks.put(vm, task)
        return task
    }
}
